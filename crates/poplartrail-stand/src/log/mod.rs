//! Stand-in for the platform log, which is append-only.
//!
//! `POST /v1/streams/NAME` appends the body and returns its offset and the time of the log.
//! `POST /v1/read` reads several streams from given offsets. `GET /counts` returns request counts.
//! `POST /control` sets the faults.

mod faults;
mod server;
mod streams;

pub use faults::Faults;
pub use server::run;
pub use streams::Streams;

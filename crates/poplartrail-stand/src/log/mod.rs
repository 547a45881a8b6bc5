//! Stand-in for the platform's append-only log.
//!
//! `POST /v1/streams/NAME` appends the body and answers with its offset and the log's time.
//! `POST /v1/read` reads several streams from given offsets. `POST /control` sets the faults.

mod faults;
mod server;
mod streams;

pub use faults::Faults;
pub use server::run;
pub use streams::Streams;

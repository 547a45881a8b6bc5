//! The front thread: HTTP servers in hosted mode, for requests of callers, readiness checks and the
//! upstream's heartbeats, all in the platform's formats.

mod control;
mod requests;
mod run;

pub use run::{FrontOptions, run};

//! The front duty: requests of callers, readiness checks and the upstream's heartbeats, all as
//! the platform spells them.

mod control;
mod requests;
mod run;

pub use run::{FrontOptions, run};

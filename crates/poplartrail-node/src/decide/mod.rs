//! The decide duty: one thread that owns the state of all decisions.

mod outlets;
mod run;

pub use outlets::Outlets;
pub use run::{DrainedSender, run};

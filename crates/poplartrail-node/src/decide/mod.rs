//! The decide thread, which owns the state of all decisions.

mod output_rings;
mod run;
mod upstream_messages;

pub use output_rings::OutputRings;
pub use run::{DrainedSender, run};

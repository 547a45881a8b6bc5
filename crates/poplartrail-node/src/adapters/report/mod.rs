//! The report duty: health, metrics, status and the events of the time line.

mod events;
mod json;
mod serve;

pub use events::EventLog;
pub use serve::{ReportOptions, run, run_hosted};

//! The report duty: health, metrics, status and the events of the time line.

mod allowance;
mod events;
mod json;
mod serve;

pub use allowance::LineAllowance;
pub use events::EventLog;
pub use serve::{ReportOptions, run, run_hosted};

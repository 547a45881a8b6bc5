//! The report duty: health, metrics, status and the events of the time line.

mod events;
mod json;
mod rate_limiter;
mod serve;

pub use events::EventLog;
pub use rate_limiter::LogRateLimiter;
pub use serve::{ReportOptions, run, run_hosted};

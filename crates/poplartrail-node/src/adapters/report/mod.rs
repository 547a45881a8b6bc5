//! The report thread: health, metrics, status, the events of the timeline and their log lines.

mod events;
mod json;
mod rate_limiter;
mod serve;

pub use events::EventLog;
pub use rate_limiter::LogRateLimiter;
pub use serve::{ReportOptions, run, run_hosted};

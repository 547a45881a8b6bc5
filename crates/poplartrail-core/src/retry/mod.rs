//! Bounds on repeats: a ratio for each node, and a memory of requests that callers repeat.

mod ratio;
mod repeats;

pub use ratio::RetryRatio;
pub use repeats::Repeats;

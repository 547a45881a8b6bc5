//! The call graphs, loads and faults that the targets speak of.

mod baselines;
mod floods;
mod graphs;
mod recoveries;
mod retries;
mod truths;

pub use baselines::{Baseline, Limits};
pub use floods::{flood, kept_before};
pub use graphs::{
    SETTLE, bottom, deep, ie_midlands, mixed, overload, rank, ranks, tight, vn_south,
};
pub use recoveries::{Recovered, Trouble, recover};
pub use retries::{RetryRun, retry_run};
pub use truths::{Hint, instance_trouble, with_hint};

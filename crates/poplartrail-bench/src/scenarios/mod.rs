//! Call graphs, loads and faults for which the performance targets are stated.

mod baselines;
mod floods;
mod graphs;
mod recoveries;
mod retries;
mod truths;

pub use baselines::{Baseline, LimiterKind};
pub use floods::{flood, without_flood};
pub use graphs::{
    WARM_UP_END, balanced_chain, bottleneck_chain, deep_chain, ie_midlands, mixed_load, overload,
    rank, ranks, vn_south,
};
pub use recoveries::{Disturbance, Recovery, measure_recovery};
pub use retries::{RetryRun, retry_run};
pub use truths::{SlotReport, instance_fault, overload_with_reports};

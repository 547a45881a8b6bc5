//! Admission control in front of an upstream.
//!
//! A [`Gate`] bounds the calls in progress by a limit that follows from observed latency
//! ([`LimitAlgorithm`]), keeps a short queue ordered by rank, and divides its capacity among the
//! ranks ([`Share`](crate::call::Share)).

mod aimd_limit;
mod call_pacer;
mod fixed_limit;
mod gate_state;
mod goodput_controller;
mod gradient_limit;
mod limiter;
mod queue;
mod queue_bound;
mod rank_state;
mod rejection_rate;
mod shares;
mod vegas_limit;

pub use aimd_limit::AimdLimit;
pub use fixed_limit::FixedLimit;
pub use gate_state::{
    AdmissionRequest, Completion, Gate, GateDecision, GateOptions, SheddingCounts,
};
pub use goodput_controller::GoodputController;
pub use gradient_limit::GradientLimit;
pub use limiter::{LimitAlgorithm, Limiter, Permit, Sample, UpstreamOutcome};
pub use queue_bound::max_queue_wait;
pub use rejection_rate::RejectionRate;
pub use shares::{Demand, allocate_shares};
pub use vegas_limit::VegasLimit;

//! Concurrency limits: the interface of a limit algorithm, and the choice of one.

use std::time::Duration;

use crate::{
    gate::{AimdLimit, FixedLimit, GradientLimit, VegasLimit},
    time::Time,
};

/// Permission for one call to be in progress, granted at its dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Permit {
    /// Number of the call in the order of dispatch, from 0.
    pub sequence: u64,
    /// Calls in progress when this one was dispatched, itself included.
    pub in_flight: usize,
}

/// How a call to the upstream ended, as an input to the concurrency limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The upstream answered; the times of the call are valid samples of the work.
    Answered,
    /// The upstream rejected the call or answered that it is overloaded.
    Overloaded,
    /// No answer arrived.
    Lost,
}

/// Measurement of one finished call.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Hold time less the time spent waiting for its own outbound calls.
    pub self_time: Duration,
    /// Time for which the call held its permit, including its own outbound calls.
    pub hold_time: Duration,
    /// Number of the call in the order of dispatch, from 0.
    pub sequence: u64,
    /// Calls in progress when this one was dispatched, itself included.
    pub in_flight: usize,
    /// How the upstream ended the call.
    pub outcome: UpstreamOutcome,
}

/// An algorithm that sets the concurrency limit from measurements of calls.
pub trait LimitAlgorithm {
    /// Returns the number of calls that may be in progress, at least 1.
    fn limit(&self) -> usize;

    /// Returns the limit that applies outside of short experiments, for estimates of the capacity.
    fn steady_limit(&self) -> usize {
        self.limit()
    }

    /// Records the dispatch of a call under `permit`.
    fn observe_dispatch(&mut self, _permit: Permit) {}

    /// Updates the limit from one finished call.
    fn observe(&mut self, now: Time, sample: Sample);
}

/// The published limit algorithms to choose from, so that they can be compared under the same load.
#[derive(Debug, Clone)]
pub enum Limiter {
    /// Constant limit.
    Fixed(FixedLimit),
    /// Additive increase, multiplicative decrease on a latency threshold.
    Aimd(AimdLimit),
    /// TCP Vegas: keeps the estimated queue in the upstream between two bounds.
    Vegas(VegasLimit),
    /// Gradient of self time against a baseline that is measured by experiments, which tell
    /// queueing from slow work.
    Gradient(GradientLimit),
}

impl LimitAlgorithm for Limiter {
    fn limit(&self) -> usize {
        match self {
            Limiter::Fixed(algorithm) => algorithm.limit(),
            Limiter::Aimd(algorithm) => algorithm.limit(),
            Limiter::Vegas(algorithm) => algorithm.limit(),
            Limiter::Gradient(algorithm) => algorithm.limit(),
        }
    }

    fn steady_limit(&self) -> usize {
        match self {
            Limiter::Gradient(algorithm) => algorithm.steady_limit(),
            algorithm => algorithm.limit(),
        }
    }

    fn observe_dispatch(&mut self, permit: Permit) {
        if let Limiter::Gradient(algorithm) = self {
            algorithm.observe_dispatch(permit);
        }
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        match self {
            Limiter::Fixed(algorithm) => algorithm.observe(now, sample),
            Limiter::Aimd(algorithm) => algorithm.observe(now, sample),
            Limiter::Vegas(algorithm) => algorithm.observe(now, sample),
            Limiter::Gradient(algorithm) => algorithm.observe(now, sample),
        }
    }
}

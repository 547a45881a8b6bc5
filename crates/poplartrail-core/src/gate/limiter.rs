//! The interface of a limit on calls in progress.

use std::time::Duration;

use crate::{
    gate::{AimdLimit, FixedLimit, GradientLimit, VegasLimit},
    time::Time,
};

/// The place that a call got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Permit {
    /// Number of the call among all that were dispatched.
    pub sequence: u64,
    /// Calls in progress, the call itself included.
    pub in_flight: usize,
}

/// How a call in the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// With an answer, whose time tells about the work.
    Answered,
    /// With the upstream's word that it is overloaded.
    Overloaded,
    /// Without an answer.
    Lost,
}

/// What one finished call tells about the upstream.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// Time in the upstream, less the time in which it waited for its own outbound calls.
    pub self_time: Duration,
    /// Time in the upstream, waits for its own outbound calls included.
    pub hold_time: Duration,
    /// Number of the call among all that were dispatched.
    pub sequence: u64,
    /// Calls in progress when this one was dispatched, itself included.
    pub in_flight: usize,
    /// How the call ended.
    pub outcome: UpstreamOutcome,
}

/// A rule that sets the number of calls in progress from samples.
pub trait LimitAlgorithm {
    /// Calls that may be in progress, at least 1.
    fn limit(&self) -> usize;

    /// The limit without short experiments.
    fn steady_limit(&self) -> usize {
        self.limit()
    }

    /// Takes in that a call was dispatched.
    fn dispatched(&mut self, _place: Permit) {}

    /// Takes in one finished call.
    fn observe(&mut self, now: Time, sample: Sample);
}

/// The published laws that can be chosen, for comparison on the same runs.
#[derive(Debug, Clone)]
pub enum Limiter {
    /// A constant.
    Fixed(FixedLimit),
    /// Additive increase, multiplicative decrease on a latency threshold.
    Aimd(AimdLimit),
    /// Vegas: keeps the estimated queue between two bounds.
    Vegas(VegasLimit),
    /// Gradient of own time against a baseline that tells queueing from slow work.
    Gradient(GradientLimit),
}

impl LimitAlgorithm for Limiter {
    fn limit(&self) -> usize {
        match self {
            Limiter::Fixed(law) => law.limit(),
            Limiter::Aimd(law) => law.limit(),
            Limiter::Vegas(law) => law.limit(),
            Limiter::Gradient(law) => law.limit(),
        }
    }

    fn steady_limit(&self) -> usize {
        match self {
            Limiter::Gradient(law) => law.steady_limit(),
            law => law.limit(),
        }
    }

    fn dispatched(&mut self, place: Permit) {
        if let Limiter::Gradient(law) = self {
            law.dispatched(place);
        }
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        match self {
            Limiter::Fixed(law) => law.observe(now, sample),
            Limiter::Aimd(law) => law.observe(now, sample),
            Limiter::Vegas(law) => law.observe(now, sample),
            Limiter::Gradient(law) => law.observe(now, sample),
        }
    }
}

//! The interface of a limit on calls in progress.

use std::time::Duration;

use crate::{
    gate::{Aimd, Fixed, Gradient, Vegas},
    time::Time,
};

/// The place that a call got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Place {
    /// Number of the call among all that were dispatched.
    pub turn: u64,
    /// Calls in progress, the call itself included.
    pub in_flight: usize,
}

/// How a call in the upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
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
    pub own: Duration,
    /// Time in the upstream, waits for its own outbound calls included.
    pub hold: Duration,
    /// Number of the call among all that were dispatched.
    pub turn: u64,
    /// Calls in progress when this one was dispatched, itself included.
    pub in_flight: usize,
    /// How the call ended.
    pub ending: Ending,
}

/// A rule that sets the number of calls in progress from samples.
pub trait LimitLaw {
    /// Calls that may be in progress, at least 1.
    fn limit(&self) -> usize;

    /// The limit without short experiments.
    fn steady_limit(&self) -> usize {
        self.limit()
    }

    /// Takes in that a call was dispatched.
    fn dispatched(&mut self, _place: Place) {}

    /// Takes in one finished call.
    fn observe(&mut self, now: Time, sample: Sample);
}

/// The published laws that can be chosen, for comparison on the same runs.
#[derive(Debug, Clone)]
pub enum Law {
    /// A constant.
    Fixed(Fixed),
    /// Additive increase, multiplicative decrease on a latency threshold.
    Aimd(Aimd),
    /// Vegas: keeps the estimated queue between two bounds.
    Vegas(Vegas),
    /// Gradient of own time against a baseline that tells queueing from slow work.
    Gradient(Gradient),
}

impl LimitLaw for Law {
    fn limit(&self) -> usize {
        match self {
            Law::Fixed(law) => law.limit(),
            Law::Aimd(law) => law.limit(),
            Law::Vegas(law) => law.limit(),
            Law::Gradient(law) => law.limit(),
        }
    }

    fn steady_limit(&self) -> usize {
        match self {
            Law::Gradient(law) => law.steady_limit(),
            law => law.limit(),
        }
    }

    fn dispatched(&mut self, place: Place) {
        if let Law::Gradient(law) = self {
            law.dispatched(place);
        }
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        match self {
            Law::Fixed(law) => law.observe(now, sample),
            Law::Aimd(law) => law.observe(now, sample),
            Law::Vegas(law) => law.observe(now, sample),
            Law::Gradient(law) => law.observe(now, sample),
        }
    }
}

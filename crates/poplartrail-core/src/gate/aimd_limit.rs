//! Additive increase, multiplicative decrease (Chiu and Jain, 1989).

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Sample, UpstreamOutcome},
    time::Time,
};

/// Factor on the limit after a slow or failed call.
const DECREASE_FACTOR: f64 = 0.9;
/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);
/// Upper bound of the limit, in calls in progress.
const MAX_LIMIT: f64 = 10_000.0;

/// A limit that grows by one per round of calls (as many calls as the limit) while it is in use,
/// and shrinks when a call is slow or fails.
#[derive(Debug, Clone)]
pub struct AimdLimit {
    limit: f64,
    threshold: Duration,
    decreased_at: Time,
}

impl AimdLimit {
    /// Creates a limit of `initial` calls; a call is slow if its self time exceeds `threshold`.
    pub fn new(initial: usize, threshold: Duration) -> Self {
        Self { limit: initial.max(1) as f64, threshold, decreased_at: Time::ZERO }
    }
}

impl LimitAlgorithm for AimdLimit {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        if sample.outcome != UpstreamOutcome::Answered || sample.self_time > self.threshold {
            if now.since(self.decreased_at) >= MIN_DECREASE_INTERVAL {
                self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
                self.decreased_at = now;
            }
        } else if sample.in_flight as f64 >= self.limit * 0.9 {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }
}

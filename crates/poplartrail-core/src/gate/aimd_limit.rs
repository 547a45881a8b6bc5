//! Additive increase, multiplicative decrease (Chiu and Jain, 1989).

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Sample, UpstreamOutcome},
    time::Time,
};

/// Factor on a sample over the threshold.
const DECREASE: f64 = 0.9;
/// Shortest time between two decreases.
const DECREASE_PAUSE: Duration = Duration::from_millis(100);
/// Highest limit.
const MAX_LIMIT: f64 = 10_000.0;

/// Grows by one for each round of calls, shrinks when a call is slow or fails.
#[derive(Debug, Clone)]
pub struct AimdLimit {
    limit: f64,
    threshold: Duration,
    decreased_at: Time,
}

impl AimdLimit {
    /// Starts from `initial` calls in progress; a call over `threshold` is slow.
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
            if now.since(self.decreased_at) >= DECREASE_PAUSE {
                self.limit = (self.limit * DECREASE).max(1.0);
                self.decreased_at = now;
            }
        } else if sample.in_flight as f64 >= self.limit * 0.9 {
            self.limit = (self.limit + 1.0 / self.limit).min(MAX_LIMIT);
        }
    }
}

//! A limit modelled on TCP Vegas (Brakmo and Peterson, 1995).

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Sample},
    time::Time,
};

/// Minimum length of a round.
const MIN_ROUND: Duration = Duration::from_millis(100);
/// Samples that a round needs before it ends.
const MIN_ROUND_SAMPLES: u32 = 20;
/// Upper bound of the limit, in calls in progress.
const MAX_LIMIT: f64 = 10_000.0;

/// A limit that keeps the estimated number of calls queued in the upstream between two bounds.
#[derive(Debug, Clone)]
pub struct VegasLimit {
    limit: f64,
    baseline_secs: Option<f64>,
    self_time_secs: f64,
    count: u32,
    reached_limit: bool,
    round_started_at: Time,
}

impl VegasLimit {
    /// Creates a limit that starts at `initial` calls.
    pub fn new(initial: usize) -> Self {
        Self {
            limit: initial.max(1) as f64,
            baseline_secs: None,
            self_time_secs: 0.0,
            count: 0,
            reached_limit: false,
            round_started_at: Time::ZERO,
        }
    }

    fn end_round(&mut self, mean_secs: f64) {
        let baseline_secs =
            self.baseline_secs.map_or(mean_secs, |baseline_secs| baseline_secs.min(mean_secs));
        self.baseline_secs = Some(baseline_secs);
        let queued = self.limit * (1.0 - baseline_secs / mean_secs.max(1e-9));
        let alpha = 0.05 * self.limit + 1.0;
        let beta = 0.15 * self.limit + 2.0;
        if queued > beta {
            self.limit = (self.limit - self.limit.sqrt()).max(1.0);
        } else if queued < alpha && self.reached_limit {
            self.limit = (self.limit + self.limit.sqrt()).min(MAX_LIMIT);
        }
    }
}

impl LimitAlgorithm for VegasLimit {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        self.self_time_secs += sample.self_time.as_secs_f64();
        self.count += 1;
        self.reached_limit |= sample.in_flight as f64 >= self.limit * 0.9;
        if now.since(self.round_started_at) >= MIN_ROUND && self.count >= MIN_ROUND_SAMPLES {
            self.end_round(self.self_time_secs / f64::from(self.count));
            self.self_time_secs = 0.0;
            self.count = 0;
            self.reached_limit = false;
            self.round_started_at = now;
        }
    }
}

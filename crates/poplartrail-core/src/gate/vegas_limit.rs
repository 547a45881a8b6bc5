//! A limit after TCP Vegas (Brakmo and Peterson, 1995).

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Sample},
    time::Time,
};

/// Length of a round.
const ROUND: Duration = Duration::from_millis(100);
/// Samples without which a round goes on.
const MIN_SAMPLES: u32 = 20;
/// Highest limit.
const MAX_LIMIT: f64 = 10_000.0;

/// Keeps the estimated number of calls that queue in the upstream between two bounds.
#[derive(Debug, Clone)]
pub struct VegasLimit {
    limit: f64,
    base: Option<f64>,
    sum: f64,
    count: u32,
    is_full: bool,
    round_at: Time,
}

impl VegasLimit {
    /// Starts from `initial` calls in progress.
    pub fn new(initial: usize) -> Self {
        Self {
            limit: initial.max(1) as f64,
            base: None,
            sum: 0.0,
            count: 0,
            is_full: false,
            round_at: Time::ZERO,
        }
    }

    fn end_round(&mut self, mean: f64) {
        let base = self.base.map_or(mean, |base| base.min(mean));
        self.base = Some(base);
        let queued = self.limit * (1.0 - base / mean.max(1e-9));
        let alpha = 0.05 * self.limit + 1.0;
        let beta = 0.15 * self.limit + 2.0;
        if queued > beta {
            self.limit = (self.limit - self.limit.sqrt()).max(1.0);
        } else if queued < alpha && self.is_full {
            self.limit = (self.limit + self.limit.sqrt()).min(MAX_LIMIT);
        }
    }
}

impl LimitAlgorithm for VegasLimit {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        self.sum += sample.self_time.as_secs_f64();
        self.count += 1;
        self.is_full |= sample.in_flight as f64 >= self.limit * 0.9;
        if now.since(self.round_at) >= ROUND && self.count >= MIN_SAMPLES {
            self.end_round(self.sum / f64::from(self.count));
            self.sum = 0.0;
            self.count = 0;
            self.is_full = false;
            self.round_at = now;
        }
    }
}

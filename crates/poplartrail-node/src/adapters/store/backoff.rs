//! Exponential backoff.

use std::time::Duration;

use rand::Rng;

/// Maximum number of times that the delay is doubled.
const MAX_DOUBLINGS: u32 = 8;

/// Delays that double with each consecutive failure. Jitter shortens each by up to half, so that
/// nodes that fail at the same time do not retry at the same time.
#[derive(Debug)]
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Self {
        Self { min, max, failures: 0 }
    }

    /// Returns the number of failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Records a success, after which the delays start anew.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a failure and returns the delay before the next attempt.
    pub(crate) fn record_failure(&mut self) -> Duration {
        let delay = self.min * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        delay.min(self.max).mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

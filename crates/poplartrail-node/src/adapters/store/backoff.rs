//! Pauses after failures.

use std::time::Duration;

use rand::Rng;

/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 8;

/// Pauses that double with each failure in a row, shortened at random so that nodes which failed
/// together do not come back together.
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

    /// Failures since the last success.
    pub(crate) fn failures(&self) -> u32 {
        self.failures
    }

    /// Notes a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }

    /// Notes a failure and returns the pause after it.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = self.min * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        delay.min(self.max).mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

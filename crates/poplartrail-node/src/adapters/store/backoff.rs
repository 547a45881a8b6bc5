//! Pauses after failures.

use std::time::Duration;

use rand::Rng;

/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 8;

/// Pauses that double with each failure in a row, shortened at random so that nodes which failed
/// together do not come back together.
#[derive(Debug)]
pub(crate) struct Backoff {
    least: Duration,
    greatest: Duration,
    failures: u32,
}

impl Backoff {
    pub(crate) fn new(least: Duration, greatest: Duration) -> Self {
        Self { least, greatest, failures: 0 }
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
    pub(crate) fn next(&mut self) -> Duration {
        let pause = self.least * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures = self.failures.saturating_add(1);
        pause.min(self.greatest).mul_f64(rand::rng().random_range(0.5..1.0))
    }
}

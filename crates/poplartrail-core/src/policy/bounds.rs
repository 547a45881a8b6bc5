//! Bounds that every node enforces.

use std::time::Duration;

use crate::policy::{PolicyError, error::in_range};

/// Bounds on retries, queues and times.
#[derive(Debug, Clone, PartialEq)]
pub struct Bounds {
    /// Maximum number of retries that one request may cause over its whole call chain.
    pub retries_per_request: u8,
    /// Maximum number of retries that a node may add, as a fraction of its calls.
    pub retry_ratio: f64,
    /// Burst of the retry token bucket: retries that may be saved up while none is needed.
    pub retry_burst: f64,
    /// Maximum number of calls in the queue of a gate.
    pub queue_len: usize,
    /// Maximum depth of a call in its call chain.
    pub max_depth: u8,
    /// Interval at which a gate decides on its shares.
    pub interval: Duration,
    /// Time for which the outcome of an idempotency key is kept.
    pub key_window: Duration,
    /// Maximum difference between the clocks that mint keys and the clock of the log.
    pub clock_skew: Duration,
    /// Duration of the lease of a key slot.
    pub lease: Duration,
}

impl Bounds {
    /// Returns a builder that starts from the default bounds.
    pub fn builder() -> BoundsBuilder {
        BoundsBuilder { bounds: Bounds::default() }
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            retries_per_request: 3,
            retry_ratio: 0.1,
            retry_burst: 100.0,
            queue_len: 512,
            max_depth: 32,
            interval: Duration::from_millis(100),
            key_window: Duration::from_secs(600),
            clock_skew: Duration::from_secs(2),
            lease: Duration::from_secs(600),
        }
    }
}

/// Builder that sets bounds and checks them together.
#[derive(Debug, Clone)]
pub struct BoundsBuilder {
    bounds: Bounds,
}

impl BoundsBuilder {
    /// Sets the maximum number of retries that one request may cause over its whole call chain.
    #[must_use]
    pub fn retries_per_request(mut self, retries: u8) -> Self {
        self.bounds.retries_per_request = retries;
        self
    }

    /// Sets the maximum number of retries that a node may add, as a fraction of its calls.
    #[must_use]
    pub fn retry_ratio(mut self, ratio: f64) -> Self {
        self.bounds.retry_ratio = ratio;
        self
    }

    /// Sets the number of retries that may be saved up while none is needed.
    #[must_use]
    pub fn retry_burst(mut self, retries: f64) -> Self {
        self.bounds.retry_burst = retries;
        self
    }

    /// Sets the maximum number of calls in the queue of a gate.
    #[must_use]
    pub fn queue_len(mut self, len: usize) -> Self {
        self.bounds.queue_len = len;
        self
    }

    /// Sets the maximum depth of a call in its call chain.
    #[must_use]
    pub fn max_depth(mut self, depth: u8) -> Self {
        self.bounds.max_depth = depth;
        self
    }

    /// Sets the interval at which a gate decides on its shares.
    #[must_use]
    pub fn interval(mut self, interval: Duration) -> Self {
        self.bounds.interval = interval;
        self
    }

    /// Sets the time for which the outcome of an idempotency key is kept.
    #[must_use]
    pub fn key_window(mut self, window: Duration) -> Self {
        self.bounds.key_window = window;
        self
    }

    /// Sets the maximum difference between the clocks that mint keys and the clock of the log.
    #[must_use]
    pub fn clock_skew(mut self, skew: Duration) -> Self {
        self.bounds.clock_skew = skew;
        self
    }

    /// Sets the duration of the lease of a key slot.
    #[must_use]
    pub fn lease(mut self, lease: Duration) -> Self {
        self.bounds.lease = lease;
        self
    }

    /// Checks every bound against its range and returns the bounds.
    pub fn build(self) -> Result<Bounds, PolicyError> {
        let b = self.bounds;
        let secs = |d: Duration| d.as_secs_f64();
        in_range("bounds.retries_per_request", f64::from(b.retries_per_request), 0.0, 16.0)?;
        in_range("bounds.retry_ratio", b.retry_ratio, 0.0, 1.0)?;
        in_range("bounds.retry_burst", b.retry_burst, 0.0, 10_000.0)?;
        in_range("bounds.queue_len", b.queue_len as f64, 1.0, 100_000.0)?;
        in_range("bounds.max_depth", f64::from(b.max_depth), 1.0, 64.0)?;
        in_range("bounds.interval_ms", secs(b.interval) * 1e3, 10.0, 10_000.0)?;
        in_range("bounds.key_window_s", secs(b.key_window), 1.0, 86_400.0)?;
        in_range("bounds.clock_skew_ms", secs(b.clock_skew) * 1e3, 1.0, 60_000.0)?;
        in_range("bounds.lease_s", secs(b.lease), 1.0, 1800.0)?;
        Ok(b)
    }
}

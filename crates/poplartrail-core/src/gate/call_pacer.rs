//! Paces the calls to an upstream that names a limit on their rate.

use std::time::Duration;

use crate::{time::Time, upstream::CallRate};

/// Rate at which an upstream is called even if it names a lower one. Only an answer can withdraw
/// its limit, so some calls must go on.
const MIN_RATE: f64 = 0.5;
/// Time for which unused calls accumulate. Upstreams tolerate half as many calls again as they name,
/// counted over seconds.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Tolerance on the sum of parts of a call, which are floating-point numbers.
const ROUNDING: f64 = 1e-9;

/// Token bucket with a token for each call.
#[derive(Debug, Clone)]
pub(crate) struct CallPacer {
    /// Calls a second.
    rate: f64,
    tokens: f64,
    refilled_at: Time,
}

impl CallPacer {
    /// Creates a pacer that lets one call pass at once.
    pub(crate) fn new(now: Time, rate: CallRate) -> Self {
        Self { rate: rate.per_second().max(MIN_RATE), tokens: 1.0, refilled_at: now }
    }

    /// Changes the rate, and keeps what is left of the calls until `now`.
    pub(crate) fn set_rate(&mut self, now: Time, rate: CallRate) {
        self.refill(now);
        self.rate = rate.per_second().max(MIN_RATE);
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Adds the calls that may pass since the last refill.
    pub(crate) fn refill(&mut self, now: Time) {
        self.tokens = self.tokens_at(now);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Returns whether a call may pass, as of the last refill.
    pub(crate) fn has_token(&self) -> bool {
        self.tokens >= 1.0 - ROUNDING
    }

    /// Lets a call pass.
    pub(crate) fn take(&mut self) {
        self.tokens = (self.tokens - 1.0).max(0.0);
    }

    /// Returns the time at which the next call may pass.
    pub(crate) fn next_token_at(&self) -> Time {
        self.refilled_at + self.wait_for(1) + Duration::from_micros(1)
    }

    /// Returns the time from the last refill until `calls` calls may have passed.
    pub(crate) fn wait_for(&self, calls: usize) -> Duration {
        Duration::from_secs_f64((calls as f64 - self.tokens).max(0.0) / self.rate)
    }

    /// Returns the fraction of the calls at hand that have been used at `now`, or `None` if no call
    /// may pass.
    pub(crate) fn used_fraction(&self, now: Time) -> Option<f64> {
        let tokens = self.tokens_at(now);
        (tokens >= 1.0 - ROUNDING).then(|| 1.0 - tokens / self.capacity())
    }

    /// Returns how many calls may pass at once.
    fn capacity(&self) -> f64 {
        1.0 + self.rate * BURST_TIME.as_secs_f64()
    }

    fn tokens_at(&self, now: Time) -> f64 {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.rate;
        (self.tokens + earned).min(self.capacity())
    }
}

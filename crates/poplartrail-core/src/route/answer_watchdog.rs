//! A watchdog for connections on which calls wait and no answer arrives.

use std::time::Duration;

use crate::time::Time;

/// Weight of one answer in the moving averages of latency.
const LATENCY_SMOOTHING: f64 = 0.05;
/// Mean deviations above the mean latency that an answer may take.
const LATENCY_DEVIATIONS: f64 = 8.0;
/// Factor on the timeout, because several answers may be slow at the same time.
const SAFETY_FACTOR: f64 = 2.0;
/// Range of the timeout.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(10));

/// Watches one connection and expires when calls are outstanding and no answer arrives within a
/// timeout that follows from observed latency.
#[derive(Debug, Clone)]
pub struct AnswerWatchdog {
    mean_secs: f64,
    deviation_secs: f64,
    samples: u32,
    outstanding: u32,
    quiet_since: Time,
}

impl AnswerWatchdog {
    /// Creates a watchdog for a connection without outstanding calls.
    pub fn new(now: Time) -> Self {
        Self { mean_secs: 0.0, deviation_secs: 0.0, samples: 0, outstanding: 0, quiet_since: now }
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, now: Time) {
        if self.outstanding == 0 {
            self.quiet_since = now;
        }
        self.outstanding += 1;
    }

    /// Records an answer of any kind, which took `latency`.
    pub fn record_answer(&mut self, now: Time, latency: Duration) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.quiet_since = now;
        let latency_secs = latency.as_secs_f64();
        if self.samples == 0 {
            self.mean_secs = latency_secs;
            self.deviation_secs = latency_secs / 2.0;
        }
        self.samples = self.samples.saturating_add(1);
        self.deviation_secs +=
            LATENCY_SMOOTHING * ((latency_secs - self.mean_secs).abs() - self.deviation_secs);
        self.mean_secs += LATENCY_SMOOTHING * (latency_secs - self.mean_secs);
    }

    /// Records that a call ended without an answer.
    pub fn record_lost(&mut self) {
        self.outstanding = self.outstanding.saturating_sub(1);
    }

    /// Returns the time without any answer after which the watchdog expires.
    pub fn timeout(&self) -> Duration {
        if self.samples == 0 {
            return TIMEOUT_RANGE.1.mul_f64(0.2);
        }
        let timeout = SAFETY_FACTOR * (self.mean_secs + LATENCY_DEVIATIONS * self.deviation_secs);
        Duration::from_secs_f64(timeout).clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1)
    }

    /// Returns whether calls are outstanding and no answer has arrived for longer than the timeout.
    pub fn is_expired(&self, now: Time) -> bool {
        self.outstanding > 0 && now.since(self.quiet_since) > self.timeout()
    }

    /// Returns the average latency in seconds.
    pub fn mean_secs(&self) -> f64 {
        self.mean_secs
    }

    /// Restarts the watchdog for a new connection and keeps the averages.
    pub fn reset(&mut self, now: Time) {
        self.outstanding = 0;
        self.quiet_since = now;
    }
}

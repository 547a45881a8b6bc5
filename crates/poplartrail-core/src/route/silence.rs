//! A bound on the time without any answer, from observed latency.

use std::time::Duration;

use crate::time::Time;

/// Weight of one answer in the averages.
const WEIGHT: f64 = 0.05;
/// Deviations above the mean that an answer may take.
const DEVIATIONS: f64 = 8.0;
/// Factor on the bound, for answers that are slow together.
const SAFETY: f64 = 2.0;
/// Range of the bound.
const BOUND: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(10));

/// Watches one connection for the lack of any answer while calls wait on it.
#[derive(Debug, Clone)]
pub struct Silence {
    mean: f64,
    deviation: f64,
    samples: u32,
    waiting: u32,
    since: Time,
}

impl Silence {
    /// A connection with no call on it.
    pub fn new(now: Time) -> Self {
        Self { mean: 0.0, deviation: 0.0, samples: 0, waiting: 0, since: now }
    }

    /// Notes a call that was sent.
    pub fn sent(&mut self, now: Time) {
        if self.waiting == 0 {
            self.since = now;
        }
        self.waiting += 1;
    }

    /// Notes an answer of any kind, after `latency`.
    pub fn heard(&mut self, now: Time, latency: Duration) {
        self.waiting = self.waiting.saturating_sub(1);
        self.since = now;
        let latency = latency.as_secs_f64();
        if self.samples == 0 {
            self.mean = latency;
            self.deviation = latency / 2.0;
        }
        self.samples = self.samples.saturating_add(1);
        self.deviation += WEIGHT * ((latency - self.mean).abs() - self.deviation);
        self.mean += WEIGHT * (latency - self.mean);
    }

    /// Notes a call that ended without an answer.
    pub fn abandoned(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Longest time without an answer that is taken for normal.
    pub fn bound(&self) -> Duration {
        if self.samples == 0 {
            return BOUND.1.mul_f64(0.2);
        }
        let bound = SAFETY * (self.mean + DEVIATIONS * self.deviation);
        Duration::from_secs_f64(bound).clamp(BOUND.0, BOUND.1)
    }

    /// Whether calls have waited longer than the bound without any answer.
    pub fn is_silent(&self, now: Time) -> bool {
        self.waiting > 0 && now.since(self.since) > self.bound()
    }

    /// Average latency, in seconds.
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Starts again on a new connection and keeps the averages.
    pub fn reset(&mut self, now: Time) {
        self.waiting = 0;
        self.since = now;
    }
}

//! Fraction of the admitted calls that the upstream turns away.

use std::time::Duration;

use crate::time::Time;

/// Weight of one call in the moving average.
const SMOOTHING: f64 = 0.05;
/// Fraction from which the upstream counts as full. A sound upstream turns away nearly none, as the
/// gate admits no more calls than it states it can run.
const MAX_REJECTED: f64 = 0.2;
/// Time in which the fraction halves while no call is sent, so that the upstream is tried again.
const HALF_LIFE: Duration = Duration::from_secs(1);

/// Moving average of the calls that the upstream turns away without running them.
///
/// Such an upstream answers fast and so looks idle: the less it runs, the more calls its load would
/// attract (a black hole).
#[derive(Debug, Clone, Copy, Default)]
pub struct RejectionRate {
    fraction: f64,
    updated_at: Time,
}

impl RejectionRate {
    /// Records the end of a call at the upstream.
    pub fn record(&mut self, now: Time, is_rejected: bool) {
        let newest = if is_rejected { 1.0 } else { 0.0 };
        let fraction = self.fraction(now);
        self.fraction = fraction + SMOOTHING * (newest - fraction);
        self.updated_at = now;
    }

    /// Returns whether the upstream turns away so many calls that others should go elsewhere while
    /// another instance has room.
    pub fn is_shedding(&self, now: Time) -> bool {
        self.fraction(now) >= MAX_REJECTED
    }

    fn fraction(&self, now: Time) -> f64 {
        let half_lives = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.fraction * (-half_lives).exp2()
    }
}

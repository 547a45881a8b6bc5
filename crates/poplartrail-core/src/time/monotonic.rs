//! Monotonic time of one process.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Point in time of one process, in nanoseconds since its start. It never goes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Time(u64);

impl Time {
    /// The start of the process.
    pub const ZERO: Time = Time(0);

    /// Creates a point in time from nanoseconds since the start.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// Creates a point in time from milliseconds since the start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000_000)
    }

    /// Returns the nanoseconds since the start.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Returns the seconds since the start.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e9
    }

    /// Returns the time from `earlier` to this point, or zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Time {
    type Output = Time;

    fn add(self, rhs: Duration) -> Time {
        Time(self.0.saturating_add(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)))
    }
}

impl Sub<Duration> for Time {
    type Output = Time;

    fn sub(self, rhs: Duration) -> Time {
        Time(self.0.saturating_sub(u64::try_from(rhs.as_nanos()).unwrap_or(u64::MAX)))
    }
}

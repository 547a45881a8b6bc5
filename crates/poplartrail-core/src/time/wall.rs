//! Wall-clock time, as in timestamps of the platform log and of keys.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// Values from different machines may differ by the error of their clocks, so no safety property
/// may depend on comparing a local clock with one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WallTime(u64);

impl WallTime {
    /// Creates a wall-clock time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// Returns the time from `earlier` to this one, or zero if `earlier` is later.
    pub fn since(self, earlier: WallTime) -> Duration {
        Duration::from_millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for WallTime {
    type Output = WallTime;

    fn add(self, rhs: Duration) -> WallTime {
        WallTime(self.0.saturating_add(rhs.as_millis() as u64))
    }
}

impl Sub<Duration> for WallTime {
    type Output = WallTime;

    fn sub(self, rhs: Duration) -> WallTime {
        WallTime(self.0.saturating_sub(rhs.as_millis() as u64))
    }
}

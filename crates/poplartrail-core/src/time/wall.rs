//! Wall-clock time, as the platform log and key timestamps state it.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

/// Milliseconds since the Unix epoch.
///
/// Values from different machines may differ by their clock error,
/// so no safety property compares a local clock with one of these.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct WallTime(u64);

impl WallTime {
    /// Makes a wall-clock time from milliseconds since the Unix epoch.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis)
    }

    /// Milliseconds since the Unix epoch.
    pub const fn as_millis(self) -> u64 {
        self.0
    }

    /// The time that has passed since `earlier`, or zero if `earlier` is later.
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

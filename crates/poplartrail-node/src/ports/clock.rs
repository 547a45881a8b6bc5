//! Port for reading the time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use poplartrail_core::time::{Time, WallTime};

/// Source of the time; tests can provide their own.
pub trait Clock: Clone + Send + 'static {
    /// Returns the monotonic time since the start of the process.
    fn now(&self) -> Time;

    /// Returns the wall-clock time.
    fn wall(&self) -> WallTime;
}

/// Clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// Creates a clock whose monotonic time is zero now.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Time {
        Time::from_nanos(self.start.elapsed().as_nanos() as u64)
    }

    fn wall(&self) -> WallTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        WallTime::from_millis(since.as_millis() as u64)
    }
}

//! The port for the time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use poplartrail_core::time::{Time, WallTime};

/// Supplies the time, so that tests can supply their own.
pub trait Clock: Clone + Send + 'static {
    /// Monotonic time since the start of the process.
    fn now(&self) -> Time;

    /// Wall-clock time.
    fn wall(&self) -> WallTime;
}

/// The clocks of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct SystemClock {
    start: Instant,
}

impl SystemClock {
    /// A clock that starts now.
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

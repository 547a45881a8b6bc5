//! Rate limit on log lines.

/// Milliseconds of one window.
const WINDOW_MS: u64 = 1_000;

/// Limits the log lines of each second and counts those that it suppresses.
#[derive(Debug)]
pub struct LogRateLimiter {
    per_window: u32,
    window: u64,
    remaining: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a limiter that allows `per_second` lines in each second.
    pub fn new(per_second: u32) -> Self {
        Self { per_window: per_second, window: 0, remaining: per_second, suppressed: 0 }
    }

    /// Advances to the time `at_ms`. When a new second begins, returns the number of lines
    /// suppressed since the last time that one began, and otherwise zero.
    pub fn advance_to(&mut self, at_ms: u64) -> u64 {
        let window = at_ms / WINDOW_MS;
        if window == self.window {
            return 0;
        }
        self.window = window;
        self.remaining = self.per_window;
        std::mem::take(&mut self.suppressed)
    }

    /// Acquires one line for an event that is not a failure. Half of the limit is reserved for
    /// failures; a line beyond the other half is counted as suppressed, and `false` is returned.
    #[must_use]
    pub fn try_acquire_minor(&mut self) -> bool {
        if self.remaining <= self.per_window / 2 {
            self.suppressed += 1;
            return false;
        }
        self.try_acquire()
    }

    /// Acquires one line, or counts it as suppressed and returns `false`.
    #[must_use]
    pub fn try_acquire(&mut self) -> bool {
        match self.remaining.checked_sub(1) {
            Some(remaining) => {
                self.remaining = remaining;
                true
            }
            None => {
                self.suppressed += 1;
                false
            }
        }
    }
}

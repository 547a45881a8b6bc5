//! A bound on the lines that are written in a second.

/// Milliseconds of one window.
const WINDOW_MS: u64 = 1_000;

/// Lines that may still be written in the present second, and those that were left out.
#[derive(Debug)]
pub struct LogRateLimiter {
    per_window: u32,
    window: u64,
    remaining: u32,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Allows `per_second` lines a second.
    pub fn new(per_second: u32) -> Self {
        Self { per_window: per_second, window: 0, remaining: per_second, suppressed: 0 }
    }

    /// Moves on to the time `at_ms`, and returns how many lines were left out before if a new
    /// second has begun.
    pub fn advance_to(&mut self, at_ms: u64) -> u64 {
        let window = at_ms / WINDOW_MS;
        if window == self.window {
            return 0;
        }
        self.window = window;
        self.remaining = self.per_window;
        std::mem::take(&mut self.suppressed)
    }

    /// Takes one line for an event that tells of no failure, as long as half of the allowance is
    /// left for those that do.
    #[must_use]
    pub fn try_acquire_minor(&mut self) -> bool {
        if self.remaining <= self.per_window / 2 {
            self.suppressed += 1;
            return false;
        }
        self.try_acquire()
    }

    /// Takes one line, or counts it as left out and returns `false`.
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

//! A bound on the lines that are written in a second.

/// Milliseconds of one window.
const WINDOW_MS: u64 = 1_000;

/// Lines that may still be written in the present second, and those that were left out.
#[derive(Debug)]
pub struct LogRateLimiter {
    per_window: u32,
    window: u64,
    left: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// Allows `per_second` lines a second.
    pub fn new(per_second: u32) -> Self {
        Self { per_window: per_second, window: 0, left: per_second, left_out: 0 }
    }

    /// Moves on to the time `at_ms`, and returns how many lines were left out before if a new
    /// second has begun.
    pub fn advance_to(&mut self, at_ms: u64) -> u64 {
        let window = at_ms / WINDOW_MS;
        if window == self.window {
            return 0;
        }
        self.window = window;
        self.left = self.per_window;
        std::mem::take(&mut self.left_out)
    }

    /// Takes one line for an event that tells of no failure, as long as half of the allowance is
    /// left for those that do.
    #[must_use]
    pub fn try_acquire_minor(&mut self) -> bool {
        if self.left <= self.per_window / 2 {
            self.left_out += 1;
            return false;
        }
        self.try_acquire()
    }

    /// Takes one line, or counts it as left out and returns `false`.
    #[must_use]
    pub fn try_acquire(&mut self) -> bool {
        match self.left.checked_sub(1) {
            Some(left) => {
                self.left = left;
                true
            }
            None => {
                self.left_out += 1;
                false
            }
        }
    }
}

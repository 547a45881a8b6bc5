//! Admission of whole requests, each with all its nested calls, by their success ratio.

use std::time::Duration;

use crate::{
    call::{Share, ShedPosition},
    time::Time,
};

/// Minimum time over which outcomes are counted; longer than a request and its nested calls take.
const MIN_WINDOW: Duration = Duration::from_millis(1_000);
/// Outcomes that a window needs before it ends; the ratio of fewer could be due to chance.
const MIN_OUTCOMES: u32 = 16;
/// Success ratio below which the share is lowered.
const LOW_SUCCESS_RATIO: f64 = 0.75;
/// Success ratio from which the share is raised again.
const HIGH_SUCCESS_RATIO: f64 = 0.9;
/// Factor on the share when it is lowered.
const DECREASE_FACTOR: f64 = 0.7;
/// Factor on the share when it is raised.
const INCREASE_FACTOR: f64 = 1.15;
/// Lower bound of the share, so that enough requests pass to observe a recovery.
const MIN_SHARE: f64 = 0.15;
/// Times that the share may be lowered before the success ratio must have improved.
const MAX_STEPS_WITHOUT_GAIN: u32 = 2;
/// Rise of the success ratio that counts as an improvement; about twice the noise of a window.
const MIN_SUCCESS_GAIN: f64 = 0.1;
/// Time for which the share is not lowered again, after lowering it has not improved the success
/// ratio. It doubles each time, as failures that do not depend on load may last.
const INITIAL_BACKOFF: Duration = Duration::from_secs(5);
/// Upper bound of that time.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// Decreases of the share since all requests were last admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Decrease {
    /// Success ratio before the first decrease.
    initial_ratio: f64,
    steps: u32,
}

/// Controller of the share of whole requests that is admitted, for one rank.
///
/// When a service deep in the call graph is overloaded, nearly every request fails in one of its
/// calls and all of its work is wasted: the more requests are started, the fewer succeed. Admitting
/// fewer lets the others succeed. Failures that do not depend on load, such as an instance that
/// fails a fraction of its requests, show in a success ratio that does not improve while the share
/// falls; then everything is admitted again. The controller uses the ratio and not the rate of
/// successes, because a node that sheds before the others leaves its part of the scarce capacity to
/// them.
#[derive(Debug, Clone)]
pub struct GoodputController {
    share: f64,
    decrease: Option<Decrease>,
    /// Whether the last decrease has yet to take effect, so that the next window is ignored.
    is_settling: bool,
    backoff: Duration,
    backoff_until: Time,
    succeeded: u32,
    failed: u32,
    window_started_at: Time,
}

impl Default for GoodputController {
    fn default() -> Self {
        Self {
            share: 1.0,
            decrease: None,
            is_settling: false,
            backoff: INITIAL_BACKOFF,
            backoff_until: Time::ZERO,
            succeeded: 0,
            failed: 0,
            window_started_at: Time::ZERO,
        }
    }
}

impl GoodputController {
    /// Returns the share of requests that is admitted.
    pub fn share(&self) -> Share {
        Share::from_fraction(self.share)
    }

    /// Returns whether a request at `position` in the shedding order is admitted.
    pub fn admits(&self, position: ShedPosition) -> bool {
        self.share >= 1.0 || self.share().admits(position)
    }

    /// Records the outcome of an admitted request, and adjusts the share at the end of a window.
    pub fn observe(&mut self, now: Time, has_succeeded: bool) {
        if has_succeeded {
            self.succeeded += 1;
        } else {
            self.failed += 1;
        }
        let length = now.since(self.window_started_at);
        let outcomes = self.succeeded + self.failed;
        if length < MIN_WINDOW || outcomes < MIN_OUTCOMES {
            return;
        }
        self.adjust(now, f64::from(self.succeeded) / f64::from(outcomes));
        self.window_started_at = now;
        self.succeeded = 0;
        self.failed = 0;
    }

    /// Adjusts the share after a window with this success ratio.
    fn adjust(&mut self, now: Time, success_ratio: f64) {
        if std::mem::take(&mut self.is_settling) {
            return;
        }
        if success_ratio >= HIGH_SUCCESS_RATIO {
            self.increase();
        } else if success_ratio < LOW_SUCCESS_RATIO && now >= self.backoff_until {
            self.decrease_or_reset(now, success_ratio);
        }
    }

    fn increase(&mut self) {
        self.share = (self.share * INCREASE_FACTOR).min(1.0);
        self.backoff = INITIAL_BACKOFF;
        if self.share >= 1.0 {
            self.decrease = None;
        }
    }

    /// Lowers the share, or admits everything again if earlier decreases have not improved the
    /// ratio.
    fn decrease_or_reset(&mut self, now: Time, success_ratio: f64) {
        let decrease =
            self.decrease.get_or_insert(Decrease { initial_ratio: success_ratio, steps: 0 });
        if decrease.steps >= MAX_STEPS_WITHOUT_GAIN
            && success_ratio < decrease.initial_ratio + MIN_SUCCESS_GAIN
        {
            self.share = 1.0;
            self.decrease = None;
            self.backoff_until = now + self.backoff;
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
            return;
        }
        decrease.steps += 1;
        self.share = (self.share * DECREASE_FACTOR).max(MIN_SHARE);
        self.is_settling = true;
    }
}

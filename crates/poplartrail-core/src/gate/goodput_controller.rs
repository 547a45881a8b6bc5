//! Admission of whole requests by what becomes of those that are admitted.

use std::time::Duration;

use crate::{
    call::{Share, ShedPosition},
    time::Time,
};

/// Time over which outcomes are counted: longer than a request and the calls beneath it take.
const WINDOW: Duration = Duration::from_millis(1_000);
/// Outcomes without which a window tells nothing; fewer, and chance alone explains the ratio.
const MIN_OUTCOMES: u32 = 16;
/// Fraction of successes below which admitting less is tried.
const LOW: f64 = 0.75;
/// Fraction of successes from which more is admitted again.
const HIGH: f64 = 0.9;
/// Factor on the share at each step down.
const STEP_DOWN: f64 = 0.7;
/// Factor on the share at each step up.
const STEP_UP: f64 = 1.15;
/// Least share: enough requests must pass to notice that things are well again.
const LEAST: f64 = 0.15;
/// Steps down after which the fraction of successes must have grown.
const BLIND_STEPS: u32 = 2;
/// Growth of that fraction that counts; about twice the noise of a window.
const GROWTH: f64 = 0.1;
/// Time for which no step down is tried after steps without growth were taken back. It doubles
/// each time, as failures that do not depend on load may last.
const FIRST_REST: Duration = Duration::from_secs(5);
/// Longest such time.
const MAX_REST: Duration = Duration::from_secs(60);

/// Steps down since all requests were admitted.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Descent {
    /// Fraction of successes before the first step.
    start: f64,
    steps: u32,
}

/// The admitted share of the whole requests of one rank.
///
/// When a service deep in the chain has too few places, each request loses one of its calls sooner
/// or later, and all of its work is wasted: more requests are begun, fewer end well. Admitting
/// fewer lets the others end well. Failures that do not depend on load (an instance that fails a
/// part of its requests) show in a fraction of successes that stays as it is while the share falls;
/// then everything is admitted. The judge is the fraction and not the rate of successes: a node that
/// sheds before the others leaves its part of the scarce places to them.
#[derive(Debug, Clone)]
pub struct GoodputController {
    share: f64,
    descent: Option<Descent>,
    /// Whether the last step has yet to take effect.
    is_settling: bool,
    rest: Duration,
    rest_until: Time,
    succeeded: u32,
    failed: u32,
    since: Time,
}

impl Default for GoodputController {
    fn default() -> Self {
        Self {
            share: 1.0,
            descent: None,
            is_settling: false,
            rest: FIRST_REST,
            rest_until: Time::ZERO,
            succeeded: 0,
            failed: 0,
            since: Time::ZERO,
        }
    }
}

impl GoodputController {
    /// Share of the requests that is admitted.
    pub fn share(&self) -> Share {
        Share::from_fraction(self.share)
    }

    /// Whether the request at `draw` is admitted.
    pub fn admits(&self, draw: ShedPosition) -> bool {
        self.share >= 1.0 || self.share().admits(draw)
    }

    /// Takes in how an admitted request ended, and moves the share at the end of a window.
    pub fn observe(&mut self, now: Time, has_succeeded: bool) {
        if has_succeeded {
            self.succeeded += 1;
        } else {
            self.failed += 1;
        }
        let length = now.since(self.since);
        let outcomes = self.succeeded + self.failed;
        if length < WINDOW || outcomes < MIN_OUTCOMES {
            return;
        }
        self.step(now, f64::from(self.succeeded) / f64::from(outcomes));
        self.since = now;
        self.succeeded = 0;
        self.failed = 0;
    }

    /// Moves the share after a window with this fraction of successes.
    fn step(&mut self, now: Time, ratio: f64) {
        if std::mem::take(&mut self.is_settling) {
            return;
        }
        if ratio >= HIGH {
            self.step_up();
        } else if ratio < LOW && now >= self.rest_until {
            self.step_down(now, ratio);
        }
    }

    fn step_up(&mut self) {
        self.share = (self.share * STEP_UP).min(1.0);
        self.rest = FIRST_REST;
        if self.share >= 1.0 {
            self.descent = None;
        }
    }

    fn step_down(&mut self, now: Time, ratio: f64) {
        let descent = self.descent.get_or_insert(Descent { start: ratio, steps: 0 });
        if descent.steps >= BLIND_STEPS && ratio < descent.start + GROWTH {
            self.share = 1.0;
            self.descent = None;
            self.rest_until = now + self.rest;
            self.rest = (self.rest * 2).min(MAX_REST);
            return;
        }
        descent.steps += 1;
        self.share = (self.share * STEP_DOWN).max(LEAST);
        self.is_settling = true;
    }
}

//! A limit from the gradient of own time, after Netflix's concurrency-limits (2018).
//!
//! The published law takes every rise of latency for queueing. An upstream whose work
//! itself has become slower then gets a limit far below its slots. Here a cut that does not
//! shorten the own time shows slow work, and the baseline moves to the present own time.

use std::time::Duration;

use crate::{
    gate::{LimitLaw, Sample},
    time::Time,
};

/// Length of a round.
const ROUND: Duration = Duration::from_millis(100);
/// Longest round that waits for enough samples.
const MAX_ROUND: Duration = Duration::from_secs(2);
/// Samples without which a round goes on.
const MIN_SAMPLES: u32 = 30;
/// Rise of own time over the baseline that is not taken for queueing.
const TOLERANCE: f64 = 1.15;
/// Strongest cut of one round.
const MAX_CUT: f64 = 0.5;
/// Share of a cut by which own time must fall to show queueing.
const QUEUEING_SHARE: f64 = 0.4;
/// Growth of the baseline in each round at the limit.
const BASE_DRIFT: f64 = 1.002;
/// Factor by which a ramp grows in each round.
const RAMP: f64 = 2.0;
/// Factor on a round with faults.
const FAULT_CUT: f64 = 0.9;
/// Highest limit.
const MAX_LIMIT: f64 = 10_000.0;

/// A cut whose effect has not been seen yet.
#[derive(Debug, Clone, Copy)]
struct Cut {
    limit_before: f64,
    own_before: f64,
}

/// Cuts the limit by the ratio of baseline to own time, and grows it by its square root.
#[derive(Debug, Clone)]
pub struct Gradient {
    limit: f64,
    base: Option<f64>,
    cut: Option<Cut>,
    is_ramping: bool,
    sum: f64,
    count: u32,
    faults: u32,
    is_full: bool,
    round_at: Time,
}

impl Gradient {
    /// Starts a ramp from `initial` calls in progress.
    pub fn new(initial: usize) -> Self {
        Self {
            limit: initial.max(1) as f64,
            base: None,
            cut: None,
            is_ramping: true,
            sum: 0.0,
            count: 0,
            faults: 0,
            is_full: false,
            round_at: Time::ZERO,
        }
    }

    /// Own time without queueing, in seconds, once it is known.
    pub fn base(&self) -> Option<f64> {
        self.base
    }

    /// Moves the baseline up if the last cut did not shorten the own time.
    fn judge_cut(&mut self, own: f64) {
        let Some(cut) = self.cut.take() else { return };
        let expected_fall = 1.0 - self.limit / cut.limit_before;
        let fall = 1.0 - own / cut.own_before;
        if fall < expected_fall * QUEUEING_SHARE {
            self.base = Some(own);
        }
    }

    fn end_round(&mut self) {
        let own = self.sum / f64::from(self.count.max(1));
        if self.faults * 10 > self.count {
            self.limit = (self.limit * FAULT_CUT).max(1.0);
            self.is_ramping = false;
            return;
        }
        self.judge_cut(own);
        let base = self.base.map_or(own, |base| base.min(own));
        self.base = Some(base);
        if own > base * TOLERANCE {
            let factor = (base * TOLERANCE / own).max(MAX_CUT);
            self.cut = Some(Cut { limit_before: self.limit, own_before: own });
            self.limit = (self.limit * factor).max(1.0);
            self.is_ramping = false;
        } else if self.is_full {
            self.base = Some(base * BASE_DRIFT);
            let grown =
                if self.is_ramping { self.limit * RAMP } else { self.limit + self.limit.sqrt() };
            self.limit = grown.min(MAX_LIMIT);
        }
    }
}

impl LimitLaw for Gradient {
    fn limit(&self) -> usize {
        self.limit as usize
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        self.count += 1;
        self.faults += u32::from(sample.is_fault);
        self.sum += sample.own.as_secs_f64();
        self.is_full |= (sample.in_flight + 1) as f64 >= self.limit * 0.9;
        let age = now.since(self.round_at);
        if age >= MAX_ROUND || (age >= ROUND && self.count >= MIN_SAMPLES) {
            self.end_round();
            self.sum = 0.0;
            self.count = 0;
            self.faults = 0;
            self.is_full = false;
            self.round_at = now;
        }
    }
}

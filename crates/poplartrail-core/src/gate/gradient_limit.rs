//! A limit from the gradient of own time, after Netflix's concurrency-limits (2018).
//!
//! The published law takes its baseline from the smallest latency of past rounds and every rise
//! above it for queueing. With random service times the smallest of many means lies far below
//! the true mean, so the limit is cut without cause. A mean over whatever ended first is too
//! small as well, so a round looks at a fixed set of calls until the last of them has ended.
//! An upstream whose work has become
//! slower would keep a limit far below its slots. Here the baseline comes from experiments: for
//! a moment fewer calls are let in, and the own time of just these calls is compared with that
//! of calls at the full limit. Queueing shows in the difference, slow work does not.

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Permit, Sample, UpstreamOutcome},
    time::Time,
};

/// Fewest calls of a round; otherwise a round has as many calls as the limit.
const ROUND_CALLS: u32 = 40;
/// Most calls of a round.
const MAX_ROUND_CALLS: u32 = 400;
/// Part of a round's calls that were dispatched at the limit, from which the round is full.
const FULL_PART: f64 = 0.5;
/// Part of the limit from which a call counts as dispatched at the limit.
const AT_LIMIT: f64 = 0.8;
/// Rise of own time over the baseline that is not taken for queueing.
const TOLERANCE: f64 = 1.08;
/// Standard errors of a round's mean that are not taken for queueing either.
const STANDARD_ERRORS: f64 = 2.0;
/// Standard errors above [`BREAK_RATIO`] that call for an experiment.
const BREAK_ERRORS: f64 = 4.0;
/// Part of the limit that an experiment lets in.
const EXPERIMENT_PART: f64 = 0.6;
/// Calls that an experiment looks at.
const EXPERIMENT_CALLS: u32 = 60;
/// Shortest time between two experiments that nothing gives cause for.
const EXPERIMENT_PAUSE: Duration = Duration::from_secs(30);
/// Shortest time between two experiments when a round shows queueing.
const DOUBT_PAUSE: Duration = Duration::from_secs(15);
/// The same, as a multiple of the time that a call holds its place.
const EXPERIMENT_PAUSE_HOLD: f64 = 40.0;
/// Weight of an experiment in the baseline.
const EXPERIMENT_WEIGHT: f64 = 0.3;
/// Weight of a round below the limit in the baseline.
const IDLE_WEIGHT: f64 = 0.1;
/// Ratio of own time to the baseline that calls for an experiment, and replaces the baseline.
const BREAK_RATIO: f64 = 1.5;
/// Least fall of own time that is looked for, as a part of it.
const LEAST_FALL: f64 = 0.1;
/// Part of the expected fall of own time that shows queueing.
const QUEUEING_PART: f64 = 0.5;
/// Factor by which a ramp grows in each round.
const RAMP: f64 = 2.0;
/// Part of the square root of the limit by which it grows after a ramp.
const GROWTH: f64 = 0.5;
/// Factor on a round in which more than one call in ten was told of overload.
const OVERLOAD_CUT: f64 = 0.9;
/// Strongest cut of one round.
const MAX_CUT: f64 = 0.6;
/// Highest limit.
const MAX_LIMIT: f64 = 10_000.0;

/// Mean and spread of some samples.
#[derive(Debug, Clone, Copy, Default)]
struct Samples {
    sum: f64,
    squares: f64,
    hold: f64,
    count: u32,
    untimed: u32,
    overloaded: u32,
}

impl Samples {
    fn add(&mut self, sample: &Sample) {
        self.count += 1;
        if sample.outcome != UpstreamOutcome::Answered {
            // How long a failure took says nothing about the work.
            self.untimed += 1;
            self.overloaded += u32::from(sample.outcome == UpstreamOutcome::Overloaded);
            return;
        }
        let own = sample.self_time.as_secs_f64();
        self.sum += own;
        self.squares += own * own;
        self.hold += sample.hold_time.as_secs_f64();
    }

    fn mean(&self) -> f64 {
        self.sum / self.timed()
    }

    /// Number of samples with a time, at least 1.
    fn timed(&self) -> f64 {
        f64::from((self.count - self.untimed).max(1))
    }

    /// Mean time that a call held its place.
    fn mean_hold(&self) -> f64 {
        self.hold / self.timed()
    }

    /// Standard error of the mean.
    fn error(&self) -> f64 {
        let count = self.timed().max(2.0);
        let variance = (self.squares / count - self.mean().powi(2)).max(0.0);
        (variance / count).sqrt()
    }
}

/// A fixed set of calls, dispatched one after another.
#[derive(Debug, Clone, Copy)]
struct Cohort {
    first: u64,
    size: u32,
    sent: u32,
    at_limit: u32,
    max_in_flight: usize,
    samples: Samples,
}

impl Cohort {
    fn new(size: u32) -> Self {
        Self { first: 0, size, sent: 0, at_limit: 0, max_in_flight: 0, samples: Samples::default() }
    }

    fn dispatched(&mut self, place: Permit, limit: f64) {
        if self.sent < self.size {
            if self.sent == 0 {
                self.first = place.sequence;
            }
            self.sent += 1;
            self.at_limit += u32::from(place.in_flight as f64 >= limit * AT_LIMIT);
            self.max_in_flight = self.max_in_flight.max(place.in_flight);
        }
    }

    fn observe(&mut self, sample: &Sample) {
        let last = self.first + u64::from(self.sent);
        if (self.first..last).contains(&sample.sequence) {
            self.samples.add(sample);
        }
    }

    fn is_complete(&self) -> bool {
        self.samples.count >= self.size
    }

    fn is_full(&self) -> bool {
        f64::from(self.at_limit) >= f64::from(self.size) * FULL_PART
    }
}

/// Fewer calls are let in for a moment.
#[derive(Debug, Clone, Copy)]
struct Experiment {
    part_limit: usize,
    /// The calls at the full limit, before the experiment.
    before: Samples,
    calls: Cohort,
}

impl Experiment {
    /// Whether still fewer calls are let in.
    fn is_holding_back(&self) -> bool {
        self.calls.sent < self.calls.size
    }
}

/// Follows the ratio of the baseline to the own time, and probes for more by its square root.
#[derive(Debug, Clone)]
pub struct GradientLimit {
    limit: f64,
    base: Option<f64>,
    is_ramping: bool,
    round: Cohort,
    experiment: Option<Experiment>,
    experiment_at: Time,
}

impl Default for GradientLimit {
    fn default() -> Self {
        Self::new(Self::INITIAL_LIMIT)
    }
}

impl GradientLimit {
    /// First limit for an upstream of which nothing is known.
    pub const INITIAL_LIMIT: usize = 24;

    /// Starts a ramp from `initial` calls in progress.
    pub fn new(initial: usize) -> Self {
        Self {
            limit: initial.max(1) as f64,
            base: None,
            is_ramping: true,
            round: Cohort::new(ROUND_CALLS),
            experiment: None,
            experiment_at: Time::ZERO,
        }
    }

    fn begin_round(&mut self) {
        let size = (self.limit as u32).clamp(ROUND_CALLS, MAX_ROUND_CALLS);
        self.round = Cohort::new(size);
    }

    fn end_round(&mut self, now: Time) {
        let round = self.round;
        self.judge_round(now, &round);
        self.begin_round();
    }

    fn judge_round(&mut self, now: Time, round: &Cohort) {
        let samples = &round.samples;
        if samples.overloaded * 10 > samples.count {
            self.cut(OVERLOAD_CUT);
            self.is_ramping = false;
            return;
        }
        if samples.untimed == samples.count {
            return;
        }
        let own = samples.mean();
        let base = *self.base.get_or_insert(own);
        let allowed = base * TOLERANCE + STANDARD_ERRORS * samples.error();
        if own > base * BREAK_RATIO + BREAK_ERRORS * samples.error() {
            self.is_ramping = false;
            self.begin_experiment(now, round);
        } else if !round.is_full() {
            // Below the limit hardly anything queues because of it.
            self.base = Some(base + IDLE_WEIGHT * (own - base));
        } else if own > allowed {
            self.is_ramping = false;
            if self.is_due(now, samples, DOUBT_PAUSE) {
                // A baseline that is too low would hold the limit down for ever.
                self.begin_experiment(now, round);
            } else {
                self.cut(1.0 - (own - allowed) / samples.mean_hold());
            }
        } else {
            self.grow();
            if !self.is_ramping && self.is_due(now, samples, EXPERIMENT_PAUSE) {
                self.begin_experiment(now, round);
            }
        }
    }

    /// Whether `pause`, which grows with the time that calls hold their places, has passed since
    /// the last experiment.
    fn is_due(&self, now: Time, samples: &Samples, pause: Duration) -> bool {
        let holds = pause.as_secs_f64() / EXPERIMENT_PAUSE.as_secs_f64() * EXPERIMENT_PAUSE_HOLD;
        let pause = pause.max(Duration::from_secs_f64(samples.mean_hold() * holds));
        now.since(self.experiment_at) >= pause
    }

    fn cut(&mut self, factor: f64) {
        self.limit = (self.limit * factor.clamp(MAX_CUT, 1.0)).max(1.0);
    }

    fn grow(&mut self) {
        let step =
            if self.is_ramping { self.limit * (RAMP - 1.0) } else { self.limit.sqrt() * GROWTH };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    fn begin_experiment(&mut self, now: Time, round: &Cohort) {
        let part_limit = (round.max_in_flight as f64 * EXPERIMENT_PART) as usize;
        self.experiment = Some(Experiment {
            part_limit: part_limit.max(1),
            before: round.samples,
            calls: Cohort::new(EXPERIMENT_CALLS),
        });
        self.experiment_at = now;
    }

    /// Compares the calls of an experiment with those at the full limit.
    fn end_experiment(&mut self, experiment: &Experiment) {
        self.experiment = None;
        let own = experiment.calls.samples.mean();
        let base = self.base.unwrap_or(own);
        let before = &experiment.before;
        let fall = before.mean() - own;
        let noise = STANDARD_ERRORS * (experiment.calls.samples.error() + before.error());
        // If all that was let out had queued, the own time falls by its part of the hold time,
        // but not below the baseline.
        let most = (1.0 - EXPERIMENT_PART) * before.mean_hold();
        let expected = (before.mean() - base).clamp(LEAST_FALL * before.mean(), most);
        if fall > QUEUEING_PART * expected + noise {
            // A rest of the queue may still be in this own time, so it only lowers the base.
            let lower = own.min(base);
            self.base = Some(base + EXPERIMENT_WEIGHT * (lower - base));
            self.cut(1.0 - fall / before.mean_hold());
        } else {
            let is_break = own > base * BREAK_RATIO || own * BREAK_RATIO < base;
            let weight = if is_break { 1.0 } else { EXPERIMENT_WEIGHT };
            self.base = Some(base + weight * (own - base));
        }
        self.begin_round();
    }
}

impl LimitAlgorithm for GradientLimit {
    fn limit(&self) -> usize {
        match &self.experiment {
            Some(experiment) if experiment.is_holding_back() => experiment.part_limit,
            _ => self.limit as usize,
        }
    }

    fn steady_limit(&self) -> usize {
        self.limit as usize
    }

    fn dispatched(&mut self, place: Permit) {
        match &mut self.experiment {
            Some(experiment) => experiment.calls.dispatched(place, self.limit),
            None => self.round.dispatched(place, self.limit),
        }
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        match &mut self.experiment {
            Some(experiment) => {
                experiment.calls.observe(&sample);
                let experiment = *experiment;
                if experiment.calls.is_complete() {
                    self.end_experiment(&experiment);
                }
            }
            None => {
                self.round.observe(&sample);
                if self.round.is_complete() {
                    self.end_round(now);
                }
            }
        }
    }
}

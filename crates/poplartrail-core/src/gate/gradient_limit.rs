//! A limit from the gradient of self time, after Netflix's concurrency-limits (2018).
//!
//! The published algorithm takes the smallest latency of past rounds as its baseline, and every
//! rise above it as queueing. This differs in three ways:
//!
//! - With random service times the smallest of many means lies far below the true mean, which would
//!   decrease the limit without cause. So the baseline is measured by experiments: for a short time
//!   fewer calls are admitted, and the self time of just these calls is compared with that of calls
//!   at the full limit.
//! - With the smallest latency as baseline, an upstream whose work has become slower would keep a
//!   limit far below its slots. Experiments tell the two apart: queueing shows in the difference,
//!   slower work does not.
//! - The mean of the calls that end first is too small, as slow calls are missing from it. So a
//!   round is a fixed set of calls, and lasts until the last of them has ended.

use std::time::Duration;

use crate::{
    gate::{LimitAlgorithm, Permit, Sample, UpstreamOutcome},
    time::Time,
};

/// Minimum calls in a round; between the bounds a round has as many calls as the limit.
const MIN_ROUND_CALLS: u32 = 40;
/// Maximum calls in a round.
const MAX_ROUND_CALLS: u32 = 400;
/// A round counts as at the limit if at least this fraction of its calls was dispatched at the
/// limit.
const AT_LIMIT_ROUND_FRACTION: f64 = 0.5;
/// A call counts as dispatched at the limit if at least this fraction of the limit was in progress.
const AT_LIMIT_FRACTION: f64 = 0.8;
/// Ratio of self time to the baseline up to which a rise is not taken for queueing.
const QUEUEING_TOLERANCE: f64 = 1.08;
/// Standard errors of a mean that are allowed as noise, in addition.
const NOISE_STANDARD_ERRORS: f64 = 2.0;
/// A round starts an experiment at once if its self time exceeds the baseline times [`SHIFT_RATIO`]
/// by more than this many standard errors.
const SHIFT_STANDARD_ERRORS: f64 = 4.0;
/// Fraction of the calls in progress before an experiment that may be in progress during it.
const EXPERIMENT_LIMIT_FRACTION: f64 = 0.6;
/// Calls that an experiment measures.
const EXPERIMENT_CALLS: u32 = 60;
/// Minimum time between two experiments while nothing indicates queueing.
const MIN_EXPERIMENT_INTERVAL: Duration = Duration::from_secs(30);
/// Minimum time between two experiments when a round indicates queueing.
const MIN_RECHECK_INTERVAL: Duration = Duration::from_secs(15);
/// [`MIN_EXPERIMENT_INTERVAL`] as a multiple of the mean hold time, used if that is longer. The
/// interval between rechecks is scaled alike.
const MIN_EXPERIMENT_INTERVAL_HOLDS: f64 = 40.0;
/// Weight of an experiment in the moving average of the baseline.
const EXPERIMENT_SMOOTHING: f64 = 0.3;
/// Weight of a round below the limit in the moving average of the baseline.
const BELOW_LIMIT_SMOOTHING: f64 = 0.1;
/// If self time and baseline differ by more than this factor, the work itself is assumed to have
/// changed: a round starts an experiment, and an experiment without queueing replaces the baseline.
const SHIFT_RATIO: f64 = 1.5;
/// Smallest fall of self time that an experiment expects from queueing, as a fraction of it.
const MIN_FALL_FRACTION: f64 = 0.1;
/// An experiment shows queueing if self time falls by more than this fraction of the expected fall.
const QUEUEING_FALL_FRACTION: f64 = 0.5;
/// Factor on the limit in each round of the initial ramp.
const RAMP_FACTOR: f64 = 2.0;
/// Growth of the limit in each round after the ramp, as a multiple of its square root.
const GROWTH_FACTOR: f64 = 0.5;
/// Factor on the limit after a round in which the upstream reported overload for more than one call
/// in ten.
const OVERLOAD_FACTOR: f64 = 0.9;
/// Smallest factor on the limit in one round.
const MIN_DECREASE_FACTOR: f64 = 0.6;
/// Upper bound of the limit, in calls in progress.
const MAX_LIMIT: f64 = 10_000.0;

/// Sums over the samples of a batch of calls, in seconds, for their mean and standard error.
#[derive(Debug, Clone, Copy, Default)]
struct SampleStats {
    self_time_sum: f64,
    self_time_squares: f64,
    hold_time_sum: f64,
    count: u32,
    untimed: u32,
    overloaded: u32,
}

impl SampleStats {
    fn add(&mut self, sample: &Sample) {
        self.count += 1;
        if sample.outcome != UpstreamOutcome::Answered {
            // The time of a failed call says nothing about the work.
            self.untimed += 1;
            self.overloaded += u32::from(sample.outcome == UpstreamOutcome::Overloaded);
            return;
        }
        let self_time = sample.self_time.as_secs_f64();
        self.self_time_sum += self_time;
        self.self_time_squares += self_time * self_time;
        self.hold_time_sum += sample.hold_time.as_secs_f64();
    }

    fn mean_self_time(&self) -> f64 {
        self.self_time_sum / self.timed_count()
    }

    /// Returns the number of samples with a valid time, at least 1.
    fn timed_count(&self) -> f64 {
        f64::from((self.count - self.untimed).max(1))
    }

    /// Returns the mean hold time in seconds.
    fn mean_hold_time(&self) -> f64 {
        self.hold_time_sum / self.timed_count()
    }

    /// Returns the standard error of the mean self time, in seconds.
    fn standard_error(&self) -> f64 {
        let count = self.timed_count().max(2.0);
        let variance = (self.self_time_squares / count - self.mean_self_time().powi(2)).max(0.0);
        (variance / count).sqrt()
    }
}

/// A fixed number of calls in the order of dispatch, measured until the last has ended.
#[derive(Debug, Clone, Copy)]
struct CallBatch {
    first_sequence: u64,
    size: u32,
    dispatched_count: u32,
    at_limit_count: u32,
    max_in_flight: usize,
    stats: SampleStats,
}

impl CallBatch {
    fn new(size: u32) -> Self {
        Self {
            first_sequence: 0,
            size,
            dispatched_count: 0,
            at_limit_count: 0,
            max_in_flight: 0,
            stats: SampleStats::default(),
        }
    }

    fn observe_dispatch(&mut self, permit: Permit, limit: f64) {
        if self.dispatched_count < self.size {
            if self.dispatched_count == 0 {
                self.first_sequence = permit.sequence;
            }
            self.dispatched_count += 1;
            self.at_limit_count += u32::from(permit.in_flight as f64 >= limit * AT_LIMIT_FRACTION);
            self.max_in_flight = self.max_in_flight.max(permit.in_flight);
        }
    }

    fn observe(&mut self, sample: &Sample) {
        let end_sequence = self.first_sequence + u64::from(self.dispatched_count);
        if (self.first_sequence..end_sequence).contains(&sample.sequence) {
            self.stats.add(sample);
        }
    }

    fn is_complete(&self) -> bool {
        self.stats.count >= self.size
    }

    fn is_at_limit(&self) -> bool {
        f64::from(self.at_limit_count) >= f64::from(self.size) * AT_LIMIT_ROUND_FRACTION
    }
}

/// A short time in which fewer calls are admitted, to measure self time without queueing.
#[derive(Debug, Clone, Copy)]
struct Experiment {
    reduced_limit: usize,
    /// Samples at the full limit, from the round before the experiment.
    full_limit_stats: SampleStats,
    batch: CallBatch,
}

impl Experiment {
    /// Returns whether the reduced limit still applies: until every call of the batch is
    /// dispatched.
    fn is_limiting(&self) -> bool {
        self.batch.dispatched_count < self.batch.size
    }
}

/// A limit that falls when self time rises above the baseline, by that rise as a fraction of the
/// hold time, and otherwise grows by a multiple of the limit's square root to probe for capacity.
#[derive(Debug, Clone)]
pub struct GradientLimit {
    limit: f64,
    /// Self time without queueing, in seconds; `None` until the first round has ended.
    baseline: Option<f64>,
    is_ramping: bool,
    round: CallBatch,
    experiment: Option<Experiment>,
    experiment_started_at: Time,
}

impl Default for GradientLimit {
    fn default() -> Self {
        Self::new(Self::INITIAL_LIMIT)
    }
}

impl GradientLimit {
    /// Initial limit for an upstream that has not been measured.
    pub const INITIAL_LIMIT: usize = 24;

    /// Creates a limit that starts at `initial` calls and ramps up.
    pub fn new(initial: usize) -> Self {
        Self {
            limit: initial.max(1) as f64,
            baseline: None,
            is_ramping: true,
            round: CallBatch::new(MIN_ROUND_CALLS),
            experiment: None,
            experiment_started_at: Time::ZERO,
        }
    }

    fn begin_round(&mut self) {
        let size = (self.limit as u32).clamp(MIN_ROUND_CALLS, MAX_ROUND_CALLS);
        self.round = CallBatch::new(size);
    }

    fn end_round(&mut self, now: Time) {
        let round = self.round;
        self.adjust_limit(now, &round);
        self.begin_round();
    }

    fn adjust_limit(&mut self, now: Time, round: &CallBatch) {
        let stats = &round.stats;
        if stats.overloaded * 10 > stats.count {
            self.decrease(OVERLOAD_FACTOR);
            self.is_ramping = false;
            return;
        }
        if stats.untimed == stats.count {
            return;
        }
        let self_time = stats.mean_self_time();
        let baseline = *self.baseline.get_or_insert(self_time);
        let allowed =
            baseline * QUEUEING_TOLERANCE + NOISE_STANDARD_ERRORS * stats.standard_error();
        if self_time > baseline * SHIFT_RATIO + SHIFT_STANDARD_ERRORS * stats.standard_error() {
            self.is_ramping = false;
            self.begin_experiment(now, round);
        } else if !round.is_at_limit() {
            // Below the limit there is little queueing, so this self time is a valid baseline.
            self.baseline = Some(baseline + BELOW_LIMIT_SMOOTHING * (self_time - baseline));
        } else if self_time > allowed {
            self.is_ramping = false;
            if self.is_experiment_due(now, stats, MIN_RECHECK_INTERVAL) {
                // Otherwise a baseline that is too low would keep the limit low for ever.
                self.begin_experiment(now, round);
            } else {
                self.decrease(1.0 - (self_time - allowed) / stats.mean_hold_time());
            }
        } else {
            self.increase();
            if !self.is_ramping && self.is_experiment_due(now, stats, MIN_EXPERIMENT_INTERVAL) {
                self.begin_experiment(now, round);
            }
        }
    }

    /// Returns whether `min_interval`, scaled up for long hold times, has passed since the last
    /// experiment.
    fn is_experiment_due(&self, now: Time, stats: &SampleStats, min_interval: Duration) -> bool {
        let min_holds = min_interval.as_secs_f64() / MIN_EXPERIMENT_INTERVAL.as_secs_f64()
            * MIN_EXPERIMENT_INTERVAL_HOLDS;
        let min_interval =
            min_interval.max(Duration::from_secs_f64(stats.mean_hold_time() * min_holds));
        now.since(self.experiment_started_at) >= min_interval
    }

    fn decrease(&mut self, factor: f64) {
        self.limit = (self.limit * factor.clamp(MIN_DECREASE_FACTOR, 1.0)).max(1.0);
    }

    fn increase(&mut self) {
        let step = if self.is_ramping {
            self.limit * (RAMP_FACTOR - 1.0)
        } else {
            self.limit.sqrt() * GROWTH_FACTOR
        };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    fn begin_experiment(&mut self, now: Time, round: &CallBatch) {
        let reduced_limit = (round.max_in_flight as f64 * EXPERIMENT_LIMIT_FRACTION) as usize;
        self.experiment = Some(Experiment {
            reduced_limit: reduced_limit.max(1),
            full_limit_stats: round.stats,
            batch: CallBatch::new(EXPERIMENT_CALLS),
        });
        self.experiment_started_at = now;
    }

    /// Compares the calls of an experiment with those at the full limit, then updates the baseline
    /// and, if there was queueing, the limit.
    fn end_experiment(&mut self, experiment: &Experiment) {
        self.experiment = None;
        let self_time = experiment.batch.stats.mean_self_time();
        let baseline = self.baseline.unwrap_or(self_time);
        let full_limit_stats = &experiment.full_limit_stats;
        let fall = full_limit_stats.mean_self_time() - self_time;
        let noise = NOISE_STANDARD_ERRORS
            * (experiment.batch.stats.standard_error() + full_limit_stats.standard_error());
        // The experiment keeps out the fraction `1.0 - EXPERIMENT_LIMIT_FRACTION` of the calls. If
        // all of these would have been queued in the upstream, self time falls by that fraction of
        // the hold time, but not below the baseline.
        let max_fall = (1.0 - EXPERIMENT_LIMIT_FRACTION) * full_limit_stats.mean_hold_time();
        let expected_fall = (full_limit_stats.mean_self_time() - baseline)
            .clamp(MIN_FALL_FRACTION * full_limit_stats.mean_self_time(), max_fall);
        if fall > QUEUEING_FALL_FRACTION * expected_fall + noise {
            // This self time may still include some queueing, so it can only lower the baseline.
            let lower_baseline = self_time.min(baseline);
            self.baseline = Some(baseline + EXPERIMENT_SMOOTHING * (lower_baseline - baseline));
            self.decrease(1.0 - fall / full_limit_stats.mean_hold_time());
        } else {
            let has_shifted =
                self_time > baseline * SHIFT_RATIO || self_time * SHIFT_RATIO < baseline;
            let weight = if has_shifted { 1.0 } else { EXPERIMENT_SMOOTHING };
            self.baseline = Some(baseline + weight * (self_time - baseline));
        }
        self.begin_round();
    }
}

impl LimitAlgorithm for GradientLimit {
    fn limit(&self) -> usize {
        match &self.experiment {
            Some(experiment) if experiment.is_limiting() => experiment.reduced_limit,
            _ => self.limit as usize,
        }
    }

    fn steady_limit(&self) -> usize {
        self.limit as usize
    }

    fn observe_dispatch(&mut self, permit: Permit) {
        match &mut self.experiment {
            Some(experiment) => experiment.batch.observe_dispatch(permit, self.limit),
            None => self.round.observe_dispatch(permit, self.limit),
        }
    }

    fn observe(&mut self, now: Time, sample: Sample) {
        match &mut self.experiment {
            Some(experiment) => {
                experiment.batch.observe(&sample);
                let experiment = *experiment;
                if experiment.batch.is_complete() {
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

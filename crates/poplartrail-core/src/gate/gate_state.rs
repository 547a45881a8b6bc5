//! The admission gate in front of one upstream.

use std::time::Duration;

use crate::{
    call::{Refusal, Share, ShedPosition},
    engine::CallKey,
    gate::{
        Demand, LimitAlgorithm, Limiter, Permit, Sample, UpstreamOutcome, allocate_shares,
        call_pacer::CallPacer, queue::RankQueue, rank_state::RankState,
    },
    policy::{RankIndex, Ranks},
    time::Time,
    upstream::CallRate,
};

/// Weight of one call in the moving average of the hold time.
const HOLD_TIME_SMOOTHING: f64 = 0.02;
/// Error of the capacity estimate when every permit is in use and no call is queued. With
/// [`BACKLOG_ERROR_WEIGHT`] it sets a target backlog of a tenth of the limit, so that queued calls
/// keep every permit in use.
const EMPTY_QUEUE_ERROR: f64 = 0.03;
/// Weight of the backlog, which is the queued calls divided by the limit, in that error.
const BACKLOG_ERROR_WEIGHT: f64 = 0.3;
/// Fraction of a rank's queued calls that the division of capacity plans to serve in one interval,
/// besides new arrivals.
const BACKLOG_DRAIN_FRACTION: f64 = 0.5;
/// Range of the correction factor on the estimated capacity.
const CAPACITY_GAIN_RANGE: (f64, f64) = (0.5, 3.0);
/// Relative change of the correction factor in one interval for an error of 1. While no share is
/// limited and the error is not negative, the factor returns towards 1 by this fraction instead.
const CAPACITY_GAIN_STEP: f64 = 0.25;

/// A call that asks the gate for a permit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// Key of the call in the engine, repeated in the decision on it.
    pub call: CallKey,
    /// Rank of the call, which orders the queue.
    pub rank: RankIndex,
    /// Position of the call's request in the shedding order of its rank.
    pub shed_position: ShedPosition,
    /// Time after which the caller no longer waits for the answer.
    pub deadline: Time,
    /// Whether the call is made for a request that an upstream is already working on.
    pub is_nested: bool,
    /// Smallest share of the rank that the gates on the path so far have admitted.
    pub admitted_share: Share,
    /// Expected wait above which the call is refused instead of queued; `None` for no bound.
    pub max_wait: Option<Duration>,
}

impl AdmissionRequest {
    /// Returns whether the call passes a gate that admits `share` of its rank.
    fn is_within(&self, share: Share) -> bool {
        let share = if self.is_nested { share.with_slack() } else { share };
        share.admits(self.shed_position)
    }
}

/// Decision of the gate on a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateDecision {
    /// The call has a permit and is sent to the upstream.
    Dispatch(CallKey, Permit),
    /// The call is refused and does not reach the upstream.
    Refuse(CallKey, Refusal),
}

/// Result of a call that gives its permit back.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// Time for which the call held its permit, including its own outbound calls.
    pub hold_time: Duration,
    /// Hold time less the time spent waiting for its own outbound calls.
    pub self_time: Duration,
    /// Rank of the call.
    pub rank: RankIndex,
    /// Permit that the call was dispatched with.
    pub permit: Permit,
    /// How the upstream ended the call.
    pub outcome: UpstreamOutcome,
}

/// Counts that show whether urgent calls are shed last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SheddingCounts {
    /// Urgent calls refused for overload or because the queue was full.
    pub urgent_shed: u64,
    /// Those of them refused in an interval in which a call that is not urgent was dispatched.
    pub order_violations: u64,
}

/// Mechanisms that a gate uses; each can be switched off to measure a baseline.
#[derive(Debug, Clone)]
pub struct GateOptions {
    /// Algorithm that sets the concurrency limit; `None` admits everything.
    pub limiter: Option<Limiter>,
    /// Whether only a share of each rank's calls is admitted, which is computed from the capacity
    /// and checked before a call is queued.
    pub divides_capacity: bool,
    /// Whether calls that cannot finish by their deadline are refused.
    pub enforces_deadlines: bool,
    /// Calls that may be queued, over all ranks.
    pub max_queue_len: usize,
}

/// Admission control for one upstream.
///
/// Calls in progress are bounded by the limit of a [`Limiter`], further calls are queued by rank,
/// and under overload each rank is admitted up to its [`Share`].
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    /// Worth of each rank, and whether it is urgent.
    worths: Vec<(f64, bool)>,
    ranks: Vec<RankState>,
    queue: RankQueue,
    /// Paces the calls while the upstream names a limit on their rate.
    pacer: Option<CallPacer>,
    in_flight: usize,
    next_sequence: u64,
    mean_hold_secs: Option<f64>,
    capacity_gain: f64,
    /// Seconds for which permits were in use in this interval, summed over the permits.
    permit_secs: f64,
    usage_updated_at: Time,
    interval_started_at: Time,
    interval_number: u64,
    /// Number of the last interval in which a call that is not urgent was dispatched.
    last_non_urgent_interval: Option<u64>,
    shedding_counts: SheddingCounts,
}

impl Gate {
    /// Creates a gate with no calls in progress that admits every rank in full.
    pub fn new(options: GateOptions, ranks: &Ranks) -> Self {
        Self {
            queue: RankQueue::new(ranks.len(), options.max_queue_len),
            worths: ranks.iter().map(|r| (r.worth, r.is_urgent)).collect(),
            ranks: vec![RankState::default(); ranks.len()],
            options,
            pacer: None,
            in_flight: 0,
            next_sequence: 0,
            mean_hold_secs: None,
            capacity_gain: 1.0,
            permit_secs: 0.0,
            usage_updated_at: Time::ZERO,
            interval_started_at: Time::ZERO,
            interval_number: 0,
            last_non_urgent_interval: None,
            shedding_counts: SheddingCounts::default(),
        }
    }

    /// Replaces the limit algorithm and discards the measured hold time.
    pub fn set_limiter(&mut self, limiter: Limiter) {
        self.options.limiter = Some(limiter);
        self.mean_hold_secs = None;
        self.ranks.iter_mut().for_each(RankState::forget_holds);
    }

    /// Sets the rate of calls that the upstream takes; `None` for any.
    pub fn set_call_rate(&mut self, now: Time, rate: Option<CallRate>) {
        match (&mut self.pacer, rate) {
            (Some(pacer), Some(rate)) => pacer.set_rate(now, rate),
            (_, rate) => self.pacer = rate.map(|rate| CallPacer::new(now, rate)),
        }
    }

    /// Returns the time at which a queued call that waits for the rate of calls may be dispatched.
    pub fn next_dispatch_at(&self) -> Option<Time> {
        let is_paced = !self.queue.is_empty() && self.in_flight < self.limit();
        self.pacer.as_ref().filter(|_| is_paced).map(CallPacer::next_token_at)
    }

    /// Dispatches the queued calls that may be dispatched at `now`.
    pub fn poll(&mut self, now: Time, decisions: &mut Vec<GateDecision>) {
        self.dispatch_queued(now, decisions);
    }

    /// Returns which fraction of the calls that the rate allows at once has been used at `now`.
    ///
    /// Returns 0 if the upstream names no limit, and `None` if no call may be dispatched.
    pub fn used_rate(&self, now: Time) -> Option<f64> {
        self.pacer.as_ref().map_or(Some(0.0), |pacer| pacer.used_fraction(now))
    }

    /// Sets the ranks and the queue length, and resets the shares and the measured demand.
    ///
    /// Queued calls keep their order. Calls of a rank that no longer exists are moved to the least
    /// urgent rank.
    pub fn set_ranks(&mut self, ranks: &Ranks, max_queue_len: usize) {
        self.options.max_queue_len = max_queue_len;
        self.worths = ranks.iter().map(|r| (r.worth, r.is_urgent)).collect();
        self.ranks = vec![RankState::default(); ranks.len()];
        self.queue.set_ranks(ranks.len(), max_queue_len);
    }

    /// Returns the number of calls that may be in progress; `usize::MAX` without a limiter.
    pub fn limit(&self) -> usize {
        self.options.limiter.as_ref().map_or(usize::MAX, Limiter::limit)
    }

    /// Returns the number of calls in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Returns the number of queued calls.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the share of the calls of `rank` that the gate admits.
    pub fn share(&self, rank: RankIndex) -> Share {
        self.ranks[rank.index()].share
    }

    /// Returns the counts of shed urgent calls since the gate was created.
    pub fn shedding_counts(&self) -> SheddingCounts {
        self.shedding_counts
    }

    /// Returns the average time for which a call holds its permit; `None` until a call has been
    /// answered since the limiter was set.
    pub fn mean_hold_time(&self) -> Option<Duration> {
        self.mean_hold_secs.map(Duration::from_secs_f64)
    }

    /// Dispatches, queues or refuses a call that has arrived.
    ///
    /// Appends the decisions to `decisions`, which may also concern calls queued before. A call
    /// that is queued gets its decision later.
    pub fn submit(
        &mut self,
        now: Time,
        request: AdmissionRequest,
        decisions: &mut Vec<GateDecision>,
    ) {
        let state = &mut self.ranks[request.rank.index()];
        state.record_arrival(&request);
        if self.options.divides_capacity && !request.is_within(state.share) {
            self.shed(&request, Refusal::Overload, decisions);
            return;
        }
        if self.is_too_late(now, &request) {
            decisions.push(GateDecision::Refuse(request.call, Refusal::TooLate));
            return;
        }
        if let Some(pacer) = &mut self.pacer {
            pacer.refill(now);
        }
        if request.max_wait.is_some_and(|max| self.expected_wait(request.rank) > max) {
            self.shed(&request, Refusal::QueueFull, decisions);
            return;
        }
        if let Some(evicted) = self.queue.push(request) {
            if self.is_urgent(evicted.rank) {
                self.close_non_urgent_ranks(now, decisions);
            }
            self.shed(&evicted, Refusal::QueueFull, decisions);
        }
        self.dispatch_queued(now, decisions);
    }

    /// Returns the expected time until a call of `rank` that arrives now gets a permit.
    ///
    /// Permits become free at the rate of the limit divided by the mean hold time (Little's law),
    /// and are granted to the calls queued ahead first. A rate of calls that the upstream names may
    /// make them wait longer.
    pub fn expected_wait(&self, rank: RankIndex) -> Duration {
        let ahead: usize = (0..=rank.0).map(|r| self.queue.len_of(RankIndex(r))).sum();
        let paced = self.pacer.as_ref().map_or(Duration::ZERO, |pacer| pacer.wait_for(ahead + 1));
        paced.max(self.expected_permit_wait(ahead))
    }

    fn expected_permit_wait(&self, ahead: usize) -> Duration {
        if self.in_flight < self.limit() {
            return Duration::ZERO;
        }
        let hold_secs = self.mean_hold_secs.unwrap_or_default();
        Duration::from_secs_f64(hold_secs * (ahead + 1) as f64 / self.limit().max(1) as f64)
    }

    /// Takes back the permit of a finished call and dispatches queued calls.
    pub fn complete(&mut self, now: Time, done: Completion, decisions: &mut Vec<GateDecision>) {
        self.record_usage(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if done.outcome == UpstreamOutcome::Answered {
            if let Some(state) = self.ranks.get_mut(done.rank.index()) {
                state.record_hold(now, done.hold_time);
            }
            let hold_secs = done.hold_time.as_secs_f64();
            self.mean_hold_secs = Some(
                self.mean_hold_secs
                    .map_or(hold_secs, |old| old + HOLD_TIME_SMOOTHING * (hold_secs - old)),
            );
        }
        if let Some(limiter) = &mut self.options.limiter {
            let sample = Sample {
                self_time: done.self_time,
                hold_time: done.hold_time,
                sequence: done.permit.sequence,
                in_flight: done.permit.in_flight,
                outcome: done.outcome,
            };
            limiter.observe(now, sample);
        }
        self.dispatch_queued(now, decisions);
    }

    /// Removes a queued call that its caller no longer waits for; returns whether it was queued.
    pub fn cancel(&mut self, call: CallKey) -> bool {
        !self.queue.extract_if(|request| request.call == call).is_empty()
    }

    /// Refuses every queued call for `reason`.
    pub fn refuse_queued(&mut self, reason: Refusal, decisions: &mut Vec<GateDecision>) {
        let queued = self.queue.extract_if(|_| true);
        decisions
            .extend(queued.into_iter().map(|request| GateDecision::Refuse(request.call, reason)));
    }

    /// Ends a control interval: refuses queued calls that cannot finish by their deadline, updates
    /// the shares of the ranks and evicts queued calls that are outside them.
    pub fn end_interval(&mut self, now: Time, decisions: &mut Vec<GateDecision>) {
        self.record_usage(now);
        if self.options.enforces_deadlines {
            let ranks = &self.ranks;
            let too_late = self.queue.extract_if(|request| {
                request.deadline < now + ranks[request.rank.index()].min_time_needed(now)
            });
            decisions.extend(
                too_late
                    .into_iter()
                    .map(|request| GateDecision::Refuse(request.call, Refusal::TooLate)),
            );
        }
        let interval_secs = now.since(self.interval_started_at).as_secs_f64();
        self.interval_number += 1;
        if self.options.divides_capacity && interval_secs > 0.0 {
            self.divide_capacity(interval_secs);
            self.evict_outside_share(decisions);
        }
        for state in &mut self.ranks {
            state.arrived = 0;
            state.estimated_arrivals = 0.0;
        }
        self.permit_secs = 0.0;
        self.interval_started_at = now;
        self.dispatch_queued(now, decisions);
    }

    /// Refuses a call because of overload and counts it if it is urgent.
    fn shed(
        &mut self,
        request: &AdmissionRequest,
        reason: Refusal,
        decisions: &mut Vec<GateDecision>,
    ) {
        if self.is_urgent(request.rank) {
            self.shedding_counts.urgent_shed += 1;
            if self.last_non_urgent_interval == Some(self.interval_number) {
                self.shedding_counts.order_violations += 1;
            }
        }
        decisions.push(GateDecision::Refuse(request.call, reason));
    }

    fn is_urgent(&self, rank: RankIndex) -> bool {
        self.worths[rank.index()].1
    }

    fn is_too_late(&self, now: Time, request: &AdmissionRequest) -> bool {
        let min_time_needed = self.ranks[request.rank.index()].min_time_needed(now);
        self.options.enforces_deadlines && request.deadline < now + min_time_needed
    }

    fn record_usage(&mut self, now: Time) {
        self.permit_secs += self.in_flight as f64 * now.since(self.usage_updated_at).as_secs_f64();
        self.usage_updated_at = now;
    }

    fn dispatch_queued(&mut self, now: Time, decisions: &mut Vec<GateDecision>) {
        if let Some(pacer) = &mut self.pacer {
            pacer.refill(now);
        }
        while self.in_flight < self.limit() && self.pacer.as_ref().is_none_or(CallPacer::has_token)
        {
            let Some(request) = self.queue.pop() else { return };
            if self.is_too_late(now, &request) {
                decisions.push(GateDecision::Refuse(request.call, Refusal::TooLate));
                continue;
            }
            self.record_usage(now);
            if !self.is_urgent(request.rank) {
                self.last_non_urgent_interval = Some(self.interval_number);
            }
            if let Some(pacer) = &mut self.pacer {
                pacer.take();
            }
            self.in_flight += 1;
            let permit = Permit { sequence: self.next_sequence, in_flight: self.in_flight };
            self.next_sequence += 1;
            if let Some(limiter) = &mut self.options.limiter {
                limiter.observe_dispatch(permit);
            }
            decisions.push(GateDecision::Dispatch(request.call, permit));
        }
    }

    /// Closes all ranks that are not urgent and evicts their queued calls.
    ///
    /// Called before an urgent call is refused because the queue is full, so that urgent calls are
    /// shed last. Calls dispatched before do not count as order violations, so the interval number
    /// is raised; the measured interval goes on.
    fn close_non_urgent_ranks(&mut self, now: Time, decisions: &mut Vec<GateDecision>) {
        for (state, (_, is_urgent)) in self.ranks.iter_mut().zip(&self.worths) {
            if !is_urgent {
                state.share = Share::NONE;
            }
        }
        self.interval_number += 1;
        self.evict_outside_share(decisions);
        self.dispatch_queued(now, decisions);
    }

    fn evict_outside_share(&mut self, decisions: &mut Vec<GateDecision>) {
        let ranks = &self.ranks;
        let outside_share =
            self.queue.extract_if(|request| !request.is_within(ranks[request.rank.index()].share));
        for request in &outside_share {
            self.shed(request, Refusal::Overload, decisions);
        }
    }

    /// Estimates the calls a second that the upstream can serve: the limit divided by the mean hold
    /// time, times a correction factor that is adjusted by the use of the permits and the backlog.
    fn capacity(&mut self, interval_secs: f64) -> Option<f64> {
        let hold_secs = self.mean_hold_secs.filter(|hold_secs| *hold_secs > 0.0)?;
        let limit = self.options.limiter.as_ref().map_or(usize::MAX, Limiter::steady_limit) as f64;
        let utilization = self.permit_secs / interval_secs / limit;
        let backlog = self.queue.len() as f64 / limit;
        // Positive if permits are unused (estimate too low), negative if calls pile up (too high).
        let error =
            (1.0 - utilization) + EMPTY_QUEUE_ERROR - backlog.min(1.0) * BACKLOG_ERROR_WEIGHT;
        let is_limited = self.ranks.iter().any(|r| r.share < Share::FULL);
        if is_limited || error < 0.0 {
            self.capacity_gain = (self.capacity_gain * (1.0 + CAPACITY_GAIN_STEP * error))
                .clamp(CAPACITY_GAIN_RANGE.0, CAPACITY_GAIN_RANGE.1);
        } else {
            self.capacity_gain += (1.0 - self.capacity_gain) * CAPACITY_GAIN_STEP;
        }
        Some(limit / hold_secs * self.capacity_gain)
    }

    fn divide_capacity(&mut self, interval_secs: f64) {
        for state in &mut self.ranks {
            state.update_rate(interval_secs);
        }
        let Some(capacity) = self.capacity(interval_secs) else { return };
        let demands: Vec<Demand> = self
            .ranks
            .iter()
            .zip(&self.worths)
            .enumerate()
            .map(|(rank, (state, &(worth, is_urgent)))| {
                let waiting = self.queue.len_of(RankIndex(rank as u8)) as f64;
                let backlog_rate = BACKLOG_DRAIN_FRACTION * waiting / interval_secs;
                Demand { arrival_rate: state.arrival_rate, backlog_rate, worth, is_urgent }
            })
            .collect();
        let shares = allocate_shares(capacity, &demands);
        let mut is_urgent_cut = false;
        // Urgent ranks come first, so a cut of one closes all ranks after it that are not urgent.
        for ((state, share), demand) in self.ranks.iter_mut().zip(shares).zip(&demands) {
            let is_closed = is_urgent_cut && !demand.is_urgent;
            state.ramp_share_to(if is_closed { Share::NONE } else { share });
            is_urgent_cut |= demand.is_urgent && state.share < Share::FULL;
        }
    }
}

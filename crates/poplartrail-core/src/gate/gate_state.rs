//! The gate itself.

use std::time::Duration;

use crate::{
    call::{Refusal, Share, ShedPosition},
    engine::CallKey,
    gate::{
        Demand, LimitAlgorithm, Limiter, Permit, Sample, UpstreamOutcome, divide, queue::RankQueue,
    },
    policy::{RankIndex, Ranks},
    time::Time,
};

/// Highest weight of the newest interval in the averages of demand.
const DEMAND_WEIGHT: f64 = 0.5;
/// Calls of one rank in an interval from which it has that weight.
const DEMAND_CALLS: f64 = 20.0;
/// Lowest weight of an interval.
const DEMAND_MIN_WEIGHT: f64 = 0.2;
/// Weight of one call in the average time that it holds its place.
const HOLD_WEIGHT: f64 = 0.02;
/// Waiting calls, as a fraction of the places, that keep the places filled.
const TARGET_BACKLOG: f64 = 0.03;
/// Weight of waiting calls in the error of the estimated capacity.
const BACKLOG_ERROR: f64 = 0.3;
/// Part of a rank's waiting calls that its share leaves to be drained in one interval.
const BACKLOG_WEIGHT: f64 = 0.5;
/// Largest growth of a rank's share from one interval to the next.
const MAX_GROWTH: f64 = 2.0;
/// Smallest fraction from which a share grows.
const GROWTH_FLOOR: f64 = 1.0 / 32.0;
/// Range of the correction of the estimated capacity.
const GAIN: (f64, f64) = (0.5, 3.0);
/// Change of the correction for each unit of error in use.
const GAIN_STEP: f64 = 0.25;

/// A call that asks for a place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionRequest {
    /// The call.
    pub call: CallKey,
    /// Its rank.
    pub rank: RankIndex,
    /// Its position among the requests of its rank.
    pub draw: ShedPosition,
    /// The point after which nobody waits for the answer.
    pub deadline: Time,
    /// Whether other services have worked on the request already.
    pub is_nested: bool,
    /// Smallest share of its rank that gates before this one have admitted.
    pub admitted_share: Share,
    /// Longest expected wait with which the call is taken; `None` for any.
    pub max_wait: Option<Duration>,
}

impl AdmissionRequest {
    /// Whether the call passes a gate that admits `share` of its rank.
    fn is_within(&self, share: Share) -> bool {
        let share = if self.is_nested { share.with_slack() } else { share };
        share.admits(self.draw)
    }
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum GateDecision {
    /// The call has a place and goes to the upstream.
    Dispatch(CallKey, Permit),
    /// The call is refused.
    Refuse(CallKey, Refusal),
}

/// What a finished call tells the gate.
#[derive(Debug, Clone, Copy)]
pub struct Completion {
    /// Time in the upstream, waits for its outbound calls included.
    pub hold_time: Duration,
    /// Time in the upstream without those waits.
    pub self_time: Duration,
    /// The place that the call had.
    pub permit: Permit,
    /// How the call ended.
    pub outcome: UpstreamOutcome,
}

/// Counts that show whether urgent work is shed last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SheddingCounts {
    /// Urgent calls that were refused for overload.
    pub urgent_shed: u64,
    /// Of these, refused in an interval in which a less urgent call was dispatched.
    pub order_violations: u64,
}

/// Which mechanisms a gate uses; the others serve as baselines.
#[derive(Debug, Clone)]
pub struct GateOptions {
    /// The law that sets the limit; `None` admits everything.
    pub limiter: Option<Limiter>,
    /// Whether capacity is divided among the ranks ahead of the queue.
    pub divides_capacity: bool,
    /// Whether calls that cannot finish in time are refused.
    pub enforces_deadlines: bool,
    /// Entries in the queue.
    pub max_queue_len: usize,
}

#[derive(Debug, Clone, Copy)]
struct RankState {
    arrived: u32,
    /// Calls that would have arrived if every gate had admitted everything.
    whole: f64,
    rate: f64,
    share: Share,
}

/// Admission to one upstream.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    worths: Vec<(f64, bool)>,
    ranks: Vec<RankState>,
    queue: RankQueue,
    in_flight: usize,
    next_turn: u64,
    hold: Option<f64>,
    gain: f64,
    use_sum: f64,
    use_at: Time,
    interval_at: Time,
    interval_number: u64,
    low_dispatched_in: Option<u64>,
    order: SheddingCounts,
}

impl Gate {
    /// A gate with nothing in progress.
    pub fn new(options: GateOptions, ranks: &Ranks) -> Self {
        let start = RankState { arrived: 0, whole: 0.0, rate: 0.0, share: Share::FULL };
        Self {
            queue: RankQueue::new(ranks.len(), options.max_queue_len),
            worths: ranks.iter().map(|r| (r.worth, r.is_urgent)).collect(),
            ranks: vec![start; ranks.len()],
            options,
            in_flight: 0,
            next_turn: 0,
            hold: None,
            gain: 1.0,
            use_sum: 0.0,
            use_at: Time::ZERO,
            interval_at: Time::ZERO,
            interval_number: 0,
            low_dispatched_in: None,
            order: SheddingCounts::default(),
        }
    }

    /// Replaces the law of the limit.
    pub fn set_limiter(&mut self, law: Limiter) {
        self.options.limiter = Some(law);
        self.hold = None;
    }

    /// Takes new ranks and a new length of the queue.
    ///
    /// Waiting calls keep their order; calls of ranks that are gone count as the least urgent.
    pub fn set_ranks(&mut self, ranks: &Ranks, queue_len: usize) {
        let start = RankState { arrived: 0, whole: 0.0, rate: 0.0, share: Share::FULL };
        self.options.max_queue_len = queue_len;
        self.worths = ranks.iter().map(|r| (r.worth, r.is_urgent)).collect();
        self.ranks = vec![start; ranks.len()];
        self.queue.set_ranks(ranks.len(), queue_len);
    }

    /// Calls that may be in progress.
    pub fn limit(&self) -> usize {
        self.options.limiter.as_ref().map_or(usize::MAX, Limiter::limit)
    }

    /// Calls in progress.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// Calls that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Fraction of `rank` that the gate admits.
    pub fn share(&self, rank: RankIndex) -> Share {
        self.ranks[rank.index()].share
    }

    /// Counts that show whether urgent work is shed last.
    pub fn shedding_counts(&self) -> SheddingCounts {
        self.order
    }

    /// Average time that a call holds its place, in seconds.
    pub fn mean_hold_time(&self) -> Option<Duration> {
        self.hold.map(Duration::from_secs_f64)
    }

    /// Decides on a call that has arrived.
    pub fn submit(&mut self, now: Time, offer: AdmissionRequest, steps: &mut Vec<GateDecision>) {
        let state = &mut self.ranks[offer.rank.index()];
        state.count(&offer);
        if self.options.divides_capacity && !offer.is_within(state.share) {
            self.shed(&offer, Refusal::Overload, steps);
            return;
        }
        if self.is_too_late(now, &offer) {
            steps.push(GateDecision::Refuse(offer.call, Refusal::TooLate));
            return;
        }
        if offer.max_wait.is_some_and(|longest| self.expected_wait(offer.rank) > longest) {
            self.shed(&offer, Refusal::QueueFull, steps);
            return;
        }
        if let Some(evicted) = self.queue.push(offer) {
            if self.is_urgent(evicted.rank) {
                self.protect_urgent(now, steps);
            }
            self.shed(&evicted, Refusal::QueueFull, steps);
        }
        self.fill_places(now, steps);
    }

    /// Time until a call of `rank` that arrives now would have a place.
    ///
    /// The call and those that stand before it leave at the rate of the places divided by the time
    /// that one is held (Little's law).
    pub fn expected_wait(&self, rank: RankIndex) -> Duration {
        if self.in_flight < self.limit() {
            return Duration::ZERO;
        }
        let ahead: usize = (0..=rank.0).map(|r| self.queue.len_of(RankIndex(r))).sum();
        let hold = self.hold.unwrap_or_default();
        Duration::from_secs_f64(hold * (ahead + 1) as f64 / self.limit().max(1) as f64)
    }

    /// Takes in a finished call and gives its place to the next.
    pub fn complete(&mut self, now: Time, done: Completion, steps: &mut Vec<GateDecision>) {
        self.note_use(now);
        self.in_flight = self.in_flight.saturating_sub(1);
        if done.outcome == UpstreamOutcome::Answered {
            let hold = done.hold_time.as_secs_f64();
            self.hold = Some(self.hold.map_or(hold, |old| old + HOLD_WEIGHT * (hold - old)));
        }
        if let Some(law) = &mut self.options.limiter {
            let sample = Sample {
                self_time: done.self_time,
                hold_time: done.hold_time,
                sequence: done.permit.sequence,
                in_flight: done.permit.in_flight,
                outcome: done.outcome,
            };
            law.observe(now, sample);
        }
        self.fill_places(now, steps);
    }

    /// Takes a call out of the queue whose caller has left.
    pub fn cancel(&mut self, call: CallKey) -> bool {
        !self.queue.drain_if(|offer| offer.call == call).is_empty()
    }

    /// Refuses every waiting call.
    pub fn refuse_queued(&mut self, reason: Refusal, steps: &mut Vec<GateDecision>) {
        let all = self.queue.drain_if(|_| true);
        steps.extend(all.into_iter().map(|offer| GateDecision::Refuse(offer.call, reason)));
    }

    /// Ends an interval: refuses what has become too late, and divides the capacity anew.
    pub fn end_interval(&mut self, now: Time, steps: &mut Vec<GateDecision>) {
        self.note_use(now);
        if self.options.enforces_deadlines {
            let least = self.least_time();
            let late = self.queue.drain_if(|offer| offer.deadline < now + least);
            steps.extend(
                late.into_iter().map(|offer| GateDecision::Refuse(offer.call, Refusal::TooLate)),
            );
        }
        let length = now.since(self.interval_at).as_secs_f64();
        self.interval_number += 1;
        if self.options.divides_capacity && length > 0.0 {
            self.divide_capacity(length);
            self.evict_outside_share(steps);
        }
        for state in &mut self.ranks {
            state.arrived = 0;
            state.whole = 0.0;
        }
        self.use_sum = 0.0;
        self.interval_at = now;
        self.fill_places(now, steps);
    }

    /// Refuses a call for overload.
    fn shed(&mut self, offer: &AdmissionRequest, reason: Refusal, steps: &mut Vec<GateDecision>) {
        if self.is_urgent(offer.rank) {
            self.order.urgent_shed += 1;
            if self.low_dispatched_in == Some(self.interval_number) {
                self.order.order_violations += 1;
            }
        }
        steps.push(GateDecision::Refuse(offer.call, reason));
    }

    fn is_urgent(&self, rank: RankIndex) -> bool {
        self.worths[rank.index()].1
    }

    /// Time that a call needs from here, as far as the gate knows.
    fn least_time(&self) -> Duration {
        self.mean_hold_time().unwrap_or_default().mul_f64(0.5)
    }

    fn is_too_late(&self, now: Time, offer: &AdmissionRequest) -> bool {
        self.options.enforces_deadlines && offer.deadline < now + self.least_time()
    }

    fn note_use(&mut self, now: Time) {
        self.use_sum += self.in_flight as f64 * now.since(self.use_at).as_secs_f64();
        self.use_at = now;
    }

    fn fill_places(&mut self, now: Time, steps: &mut Vec<GateDecision>) {
        while self.in_flight < self.limit() {
            let Some(offer) = self.queue.pop() else { return };
            if self.is_too_late(now, &offer) {
                steps.push(GateDecision::Refuse(offer.call, Refusal::TooLate));
                continue;
            }
            self.note_use(now);
            if !self.is_urgent(offer.rank) {
                self.low_dispatched_in = Some(self.interval_number);
            }
            self.in_flight += 1;
            let place = Permit { sequence: self.next_turn, in_flight: self.in_flight };
            self.next_turn += 1;
            if let Some(law) = &mut self.options.limiter {
                law.dispatched(place);
            }
            steps.push(GateDecision::Dispatch(offer.call, place));
        }
    }

    /// Begins a new interval in which nothing less urgent is admitted,
    /// before an urgent call is refused for want of room.
    fn protect_urgent(&mut self, now: Time, steps: &mut Vec<GateDecision>) {
        for (state, (_, is_urgent)) in self.ranks.iter_mut().zip(&self.worths) {
            if !is_urgent {
                state.share = Share::NONE;
            }
        }
        self.interval_number += 1;
        self.evict_outside_share(steps);
        self.fill_places(now, steps);
    }

    fn evict_outside_share(&mut self, steps: &mut Vec<GateDecision>) {
        let ranks = &self.ranks;
        let over = self.queue.drain_if(|offer| !offer.is_within(ranks[offer.rank.index()].share));
        for offer in &over {
            self.shed(offer, Refusal::Overload, steps);
        }
    }

    /// Calls a second that the upstream can take, from the limit and the time that a call holds.
    fn capacity(&mut self, length: f64) -> Option<f64> {
        let hold = self.hold.filter(|hold| *hold > 0.0)?;
        let limit = self.options.limiter.as_ref().map_or(usize::MAX, Limiter::steady_limit) as f64;
        let used = self.use_sum / length / limit;
        let backlog = self.queue.len() as f64 / limit;
        let error = (1.0 - used) + TARGET_BACKLOG - backlog.min(1.0) * BACKLOG_ERROR;
        let is_limited = self.ranks.iter().any(|r| r.share < Share::FULL);
        if is_limited || error < 0.0 {
            self.gain = (self.gain * (1.0 + GAIN_STEP * error)).clamp(GAIN.0, GAIN.1);
        } else {
            self.gain += (1.0 - self.gain) * GAIN_STEP;
        }
        Some(limit / hold * self.gain)
    }

    fn divide_capacity(&mut self, length: f64) {
        for state in &mut self.ranks {
            state.update_rate(length);
        }
        let Some(capacity) = self.capacity(length) else { return };
        let demands: Vec<Demand> = self
            .ranks
            .iter()
            .zip(&self.worths)
            .enumerate()
            .map(|(rank, (state, &(worth, is_urgent)))| {
                let waiting = self.queue.len_of(RankIndex(rank as u8)) as f64;
                let backlog = BACKLOG_WEIGHT * waiting / length;
                Demand { rate: state.rate, backlog, worth, is_urgent }
            })
            .collect();
        let shares = divide(capacity, &demands);
        let mut is_urgent_cut = false;
        // Urgent ranks stand before the others, so a cut of one closes all that follow.
        for ((state, share), demand) in self.ranks.iter_mut().zip(shares).zip(&demands) {
            let is_closed = is_urgent_cut && !demand.is_urgent;
            state.move_share(if is_closed { Share::NONE } else { share });
            is_urgent_cut |= demand.is_urgent && state.share < Share::FULL;
        }
    }
}

impl RankState {
    /// Counts a call for all those of its rank that were shed before this gate.
    ///
    /// A call that arrives under a share stands for the inverse of that share (Horvitz and
    /// Thompson, 1952). Without this, a gate whose callers shed for it would take the demand for
    /// gone, admit everything, and be overrun once its callers have heard of that.
    fn count(&mut self, offer: &AdmissionRequest) {
        self.arrived += 1;
        self.whole += 1.0 / offer.admitted_share.fraction().max(GROWTH_FLOOR);
    }

    /// Estimates the rate that would arrive if every gate admitted everything.
    fn update_rate(&mut self, length: f64) {
        // Few calls tell little, so their interval counts for little.
        let weight = (f64::from(self.arrived) / DEMAND_CALLS).clamp(DEMAND_MIN_WEIGHT, 1.0);
        self.rate += DEMAND_WEIGHT * weight * (self.whole / length - self.rate);
    }

    fn move_share(&mut self, target: Share) {
        let highest = (self.share.fraction() * MAX_GROWTH).max(GROWTH_FLOOR);
        self.share = target.min(Share::from_fraction(highest));
    }
}

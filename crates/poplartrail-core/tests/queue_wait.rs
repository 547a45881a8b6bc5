//! An overloaded gate, with and without a bound on the expected wait.
//!
//! With the bound, calls wait little longer than it, and a call is either refused on arrival or
//! dispatched. Without it, calls wait far longer, and some are refused only after that.

use std::time::Duration;

use poplartrail_core::{
    call::{RequestId, Share},
    engine::CallKey,
    gate::{
        AdmissionRequest, Completion, FixedLimit, Gate, GateDecision, GateOptions, Limiter, Permit,
        UpstreamOutcome, max_queue_wait,
    },
    names::RankName,
    policy::{Rank, RankIndex, Ranks},
    time::Time,
};
use slotmap::SlotMap;

const SLOTS: usize = 4;
const HOLD_TIME: Duration = Duration::from_millis(50);
const TARGET: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(800);
const CALLS: u32 = 2_000;
/// Calls that arrive in one control interval of a tenth of a second.
const CALLS_PER_INTERVAL: u32 = 24;
/// Time between two arrivals; three times as many calls arrive as the slots can serve.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(4_166);

/// A gate under load, with the calls that it has dispatched and the longest waits seen.
struct Simulation {
    gate: Gate,
    calls: SlotMap<CallKey, Time>,
    running: Vec<(Time, Permit)>,
    max_wait_served: Duration,
    /// The same without calls that arrived before the first had ended: until then the gate has not
    /// measured a hold time.
    max_wait_measured: Duration,
    max_wait_refused: Duration,
    dispatched: usize,
}

impl Simulation {
    fn new() -> Self {
        let rank = Rank {
            name: RankName::new("urgent").unwrap(),
            target: TARGET,
            worth: 1.0,
            is_urgent: false,
        };
        let options = GateOptions {
            limiter: Some(Limiter::Fixed(FixedLimit::new(SLOTS))),
            divides_capacity: false,
            enforces_deadlines: true,
            max_queue_len: 512,
        };
        Self {
            gate: Gate::new(options, &Ranks::new(vec![rank]).unwrap()),
            calls: SlotMap::with_key(),
            running: Vec::new(),
            max_wait_served: Duration::ZERO,
            max_wait_measured: Duration::ZERO,
            max_wait_refused: Duration::ZERO,
            dispatched: 0,
        }
    }

    /// Completes the calls that end by `now`, each at its own time.
    fn run_until(&mut self, now: Time) {
        while let Some(at) = (0..self.running.len()).min_by_key(|&at| self.running[at].0) {
            if self.running[at].0 > now {
                return;
            }
            let (end, permit) = self.running.swap_remove(at);
            let done = Completion {
                hold_time: HOLD_TIME,
                self_time: HOLD_TIME,
                rank: RankIndex(0),
                permit,
                outcome: UpstreamOutcome::Answered,
            };
            let mut decisions = Vec::new();
            self.gate.complete(end, done, &mut decisions);
            self.apply(end, decisions);
        }
    }

    fn submit(&mut self, now: Time, index: u32, max_wait: Option<Duration>) {
        let request = AdmissionRequest {
            call: self.calls.insert(now),
            rank: RankIndex(0),
            shed_position: RequestId(u128::from(index)).shed_position(),
            deadline: now + DEADLINE,
            is_nested: false,
            admitted_share: Share::FULL,
            max_wait,
        };
        let mut decisions = Vec::new();
        self.gate.submit(now, request, &mut decisions);
        self.apply(now, decisions);
    }

    fn apply(&mut self, now: Time, decisions: Vec<GateDecision>) {
        for decision in decisions {
            match decision {
                GateDecision::Dispatch(call, permit) => {
                    let arrived = self.calls[call];
                    let wait = now.since(arrived);
                    self.max_wait_served = self.max_wait_served.max(wait);
                    if arrived > Time::ZERO + HOLD_TIME {
                        self.max_wait_measured = self.max_wait_measured.max(wait);
                    }
                    self.dispatched += 1;
                    self.running.push((now + HOLD_TIME, permit));
                }
                GateDecision::Refuse(call, _) => {
                    let wait = now.since(self.calls[call]);
                    self.max_wait_refused = self.max_wait_refused.max(wait);
                }
            }
        }
    }
}

fn overload(max_wait: Option<Duration>) -> Simulation {
    let mut simulation = Simulation::new();
    for index in 0..CALLS {
        let now = Time::ZERO + ARRIVAL_INTERVAL * index;
        simulation.run_until(now);
        if index % CALLS_PER_INTERVAL == 0 {
            let mut decisions = Vec::new();
            simulation.gate.end_interval(now, &mut decisions);
            simulation.apply(now, decisions);
        }
        simulation.submit(now, index, max_wait);
    }
    simulation
}

/// Returns the fraction of the slots' time that was used.
fn utilization(simulation: &Simulation) -> f64 {
    let capacity =
        f64::from(CALLS) * ARRIVAL_INTERVAL.as_secs_f64() / HOLD_TIME.as_secs_f64() * SLOTS as f64;
    simulation.dispatched as f64 / capacity
}

#[test]
fn wait_stays_within_target() {
    let simulation = overload(Some(TARGET));
    // One hold time more: the estimate uses the mean, and a permit is free only when a call ends.
    assert!(
        simulation.max_wait_served <= TARGET + HOLD_TIME,
        "waited {:?}",
        simulation.max_wait_served
    );
    assert_eq!(simulation.max_wait_refused, Duration::ZERO, "refused calls are refused on arrival");
    assert!(
        utilization(&simulation) > 0.95,
        "{} of the slots' time was used",
        utilization(&simulation)
    );
}

/// Requests that pass four queues one after the other must not wait longer than their target in all
/// of them, and the slots must be as busy as with longer queues.
#[test]
fn four_queues_stay_within_target() {
    let simulation = overload(Some(max_queue_wait(TARGET)));
    assert!(
        simulation.max_wait_measured <= TARGET / 4 + HOLD_TIME,
        "waited {:?}",
        simulation.max_wait_measured
    );
    assert_eq!(simulation.max_wait_refused, Duration::ZERO, "refused calls are refused on arrival");
    assert!(
        utilization(&simulation) > 0.95,
        "{} of the slots' time was used",
        utilization(&simulation)
    );
}

#[test]
fn unbounded_wait_grows_to_deadline() {
    let simulation = overload(None);
    assert!(simulation.max_wait_served > 3 * TARGET, "{:?}", simulation.max_wait_served);
    assert!(
        simulation.max_wait_refused > 3 * TARGET,
        "queued, then refused: {:?}",
        simulation.max_wait_refused
    );
}

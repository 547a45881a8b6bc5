//! A flood at a gate: how long calls wait, and who is turned away at once.

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
const HOLD: Duration = Duration::from_millis(50);
const TARGET: Duration = Duration::from_millis(200);
const DEADLINE: Duration = Duration::from_millis(800);
const CALLS: u32 = 2_000;
/// A tenth of a second.
const CALLS_PER_INTERVAL: u32 = 24;
/// Three times what the places can take.
const PAUSE: Duration = Duration::from_micros(4_166);

/// A gate under load, with the calls that it has dispatched.
struct Replay {
    gate: Gate,
    calls: SlotMap<CallKey, Time>,
    running: Vec<(Time, Permit)>,
    longest_served: Duration,
    /// The same without calls that came before the first had ended: until then nothing is known of
    /// how long one takes.
    longest_settled: Duration,
    longest_refused: Duration,
    dispatched: usize,
}

impl Replay {
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
            longest_served: Duration::ZERO,
            longest_settled: Duration::ZERO,
            longest_refused: Duration::ZERO,
            dispatched: 0,
        }
    }

    /// Ends the calls that are over by `now`, each at its own time.
    fn run_until(&mut self, now: Time) {
        while let Some(at) = (0..self.running.len()).min_by_key(|&at| self.running[at].0) {
            if self.running[at].0 > now {
                return;
            }
            let (end, place) = self.running.swap_remove(at);
            let done = Completion {
                hold_time: HOLD,
                self_time: HOLD,
                permit: place,
                outcome: UpstreamOutcome::Answered,
            };
            let mut steps = Vec::new();
            self.gate.complete(end, done, &mut steps);
            self.take(end, steps);
        }
    }

    fn offer(&mut self, now: Time, turn: u32, longest_wait: Option<Duration>) {
        let offer = AdmissionRequest {
            call: self.calls.insert(now),
            rank: RankIndex(0),
            draw: RequestId(u128::from(turn)).shed_position(),
            deadline: now + DEADLINE,
            is_nested: false,
            admitted_share: Share::FULL,
            max_wait: longest_wait,
        };
        let mut steps = Vec::new();
        self.gate.submit(now, offer, &mut steps);
        self.take(now, steps);
    }

    fn take(&mut self, now: Time, steps: Vec<GateDecision>) {
        for step in steps {
            match step {
                GateDecision::Dispatch(call, place) => {
                    let arrived = self.calls[call];
                    let wait = now.since(arrived);
                    self.longest_served = self.longest_served.max(wait);
                    if arrived > Time::ZERO + HOLD {
                        self.longest_settled = self.longest_settled.max(wait);
                    }
                    self.dispatched += 1;
                    self.running.push((now + HOLD, place));
                }
                GateDecision::Refuse(call, _) => {
                    let wait = now.since(self.calls[call]);
                    self.longest_refused = self.longest_refused.max(wait);
                }
            }
        }
    }
}

fn flood(longest_wait: Option<Duration>) -> Replay {
    let mut replay = Replay::new();
    for turn in 0..CALLS {
        let now = Time::ZERO + PAUSE * turn;
        replay.run_until(now);
        if turn % CALLS_PER_INTERVAL == 0 {
            let mut steps = Vec::new();
            replay.gate.end_interval(now, &mut steps);
            replay.take(now, steps);
        }
        replay.offer(now, turn, longest_wait);
    }
    replay
}

/// Fraction of the places' time that was used.
fn used(replay: &Replay) -> f64 {
    let places = f64::from(CALLS) * PAUSE.as_secs_f64() / HOLD.as_secs_f64() * SLOTS as f64;
    replay.dispatched as f64 / places
}

#[test]
fn wait_stays_within_the_target() {
    let replay = flood(Some(TARGET));
    // One hold more: the estimate is of the mean, and a place is free only when a call ends.
    assert!(replay.longest_served <= TARGET + HOLD, "waited {:?}", replay.longest_served);
    assert_eq!(replay.longest_refused, Duration::ZERO, "whoever is turned away learns it at once");
    assert!(used(&replay) > 0.95, "{} of the places were used", used(&replay));
}

/// Requests whose calls pass four queues one after the other: they are to spend no more than their
/// target in all of them, and the places are to be as full as with longer queues.
#[test]
fn four_queues_stay_within_the_target() {
    let replay = flood(Some(max_queue_wait(TARGET)));
    assert!(replay.longest_settled <= TARGET / 4 + HOLD, "waited {:?}", replay.longest_settled);
    assert_eq!(replay.longest_refused, Duration::ZERO, "whoever is turned away learns it at once");
    assert!(used(&replay) > 0.95, "{} of the places were used", used(&replay));
}

#[test]
fn without_the_bound_the_wait_grows_to_the_deadline() {
    let replay = flood(None);
    assert!(replay.longest_served > 3 * TARGET, "{:?}", replay.longest_served);
    assert!(
        replay.longest_refused > 3 * TARGET,
        "held, then refused: {:?}",
        replay.longest_refused
    );
}

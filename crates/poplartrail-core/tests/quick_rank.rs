//! Quick calls beside slow ones at the same gate.
//!
//! Guards against a quick call that is refused as too late because others take long, for ever, as
//! no call of its rank is ever measured.

use std::time::Duration;

use poplartrail_core::{
    call::{Refusal, RequestId, Share},
    engine::CallKey,
    gate::{
        AdmissionRequest, Completion, FixedLimit, Gate, GateDecision, GateOptions, Limiter, Permit,
        UpstreamOutcome,
    },
    names::RankName,
    policy::{Rank, RankIndex, Ranks},
    time::Time,
};

const QUICK: RankIndex = RankIndex(0);
const SLOW: RankIndex = RankIndex(1);
const SECOND: Duration = Duration::from_secs(1);

fn gate() -> Gate {
    let rank = |name: &str| Rank {
        name: RankName::new(name).unwrap(),
        target: SECOND,
        worth: 1.0,
        is_urgent: false,
    };
    let options = GateOptions {
        limiter: Some(Limiter::Fixed(FixedLimit::new(4))),
        divides_capacity: false,
        enforces_deadlines: true,
        max_queue_len: 10,
    };
    Gate::new(options, &Ranks::new(vec![rank("quick"), rank("slow")]).unwrap())
}

fn submit(gate: &mut Gate, now: Time, rank: RankIndex, time_left: Duration) -> GateDecision {
    let request = AdmissionRequest {
        call: CallKey::default(),
        rank,
        shed_position: RequestId(1).shed_position(),
        deadline: now + time_left,
        is_nested: false,
        admitted_share: Share::FULL,
        max_wait: None,
    };
    let mut decisions = Vec::new();
    gate.submit(now, request, &mut decisions);
    decisions[0]
}

/// Runs a call of `rank` that takes `hold_time`, and returns the time of its end.
fn run(gate: &mut Gate, now: Time, rank: RankIndex, hold_time: Duration) -> Time {
    assert!(is_dispatched(submit(gate, now, rank, 100 * SECOND)));
    let outcome = UpstreamOutcome::Answered;
    let permit = Permit::default();
    let done = Completion { hold_time, self_time: hold_time, rank, permit, outcome };
    gate.complete(now + hold_time, done, &mut Vec::new());
    now + hold_time
}

fn is_dispatched(decision: GateDecision) -> bool {
    matches!(decision, GateDecision::Dispatch(..))
}

fn is_too_late(decision: GateDecision) -> bool {
    matches!(decision, GateDecision::Refuse(_, Refusal::TooLate))
}

#[test]
fn quick_call_is_given_the_chance() {
    let mut gate = gate();
    let now = run(&mut gate, Time::from_millis(10), SLOW, 10 * SECOND);
    assert!(is_dispatched(submit(&mut gate, now, QUICK, SECOND)));
}

#[test]
fn slow_call_without_time_is_refused() {
    let mut gate = gate();
    let now = run(&mut gate, Time::from_millis(10), SLOW, 10 * SECOND);
    let now = run(&mut gate, now, QUICK, SECOND / 100);
    assert!(is_too_late(submit(&mut gate, now, SLOW, SECOND)));
}

/// Refused calls are not measured, so what is known of a rank has to expire.
#[test]
fn hold_time_is_unlearned() {
    let mut gate = gate();
    let now = run(&mut gate, Time::from_millis(10), SLOW, 10 * SECOND);
    assert!(is_too_late(submit(&mut gate, now + 5 * SECOND, SLOW, SECOND)));
    assert!(is_dispatched(submit(&mut gate, now + 11 * SECOND, SLOW, SECOND)));
}

//! Outcome that a calling node gets when the deadline of its call ends while the call is queued.

mod hosted;

use std::time::Duration;

use hosted::{HostedRun, outcome_in};
use poplartrail_core::{
    call::{Outcome, Refusal},
    engine::{Input, Output},
    time::Time,
};

const DEADLINE: Time = Time::from_millis(500);
/// Time that a reply may take to the calling node.
const REPLY_TRAVEL: Duration = Duration::from_millis(10);

/// More calls arrive than an upstream with one slot can run. The calling node stops waiting at the
/// deadline and must know by then that a queued call has not run, as only then may its caller send
/// it again.
#[test]
fn queued_call_is_refused_before_its_sender_times_out() {
    let mut run = HostedRun::new();
    run.register_upstream(1);
    let first = run.receive_call(DEADLINE);
    assert!(first.iter().any(|output| matches!(output, Output::Dispatch { .. })), "{first:?}");
    assert!(outcome_in(&run.receive_call(DEADLINE)).is_none(), "the call is queued");
    let out = run.handle_at(DEADLINE - REPLY_TRAVEL, Input::Wake);
    match outcome_in(&out) {
        Some(Outcome::NotRun(not_run)) => assert_eq!(not_run.reason(), Refusal::TooLate),
        other => panic!("no refusal before the deadline: {other:?}"),
    }
}

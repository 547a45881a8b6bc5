//! What the node that sent a call hears when its time runs out in a queue.

mod hosted;

use std::time::Duration;

use hosted::{HostedRun, told_in};
use poplartrail_core::{
    call::{Outcome, Refusal},
    engine::{Input, Output},
    time::Time,
};

const DEADLINE: Time = Time::from_millis(500);
/// Time that a reply may take to the node that waits for it.
const WAY: Duration = Duration::from_millis(10);

/// A flood of calls for an upstream with one place. The node that sent them gives them up at their
/// deadline, and must know by then that they have not run: only then may its caller come again.
#[test]
fn waiting_call_is_refused_before_its_sender_gives_up() {
    let mut run = HostedRun::new();
    run.open_upstream(1);
    let first = run.arrive(DEADLINE);
    assert!(first.iter().any(|output| matches!(output, Output::Dispatch { .. })), "{first:?}");
    assert!(told_in(&run.arrive(DEADLINE)).is_none(), "it waits");
    let out = run.handle_at(DEADLINE - WAY, Input::Wake);
    match told_in(&out) {
        Some(Outcome::NotRun(not_run)) => assert_eq!(not_run.reason(), Refusal::TooLate),
        other => panic!("not told in time that it has not run: {other:?}"),
    }
}

//! What nodes tell each other of a limit that an upstream names.
//!
//! Guards against a restarted node that lets the calls of all others pass until its upstream has
//! answered it, and against an outdated limit that outlives the upstream's own word.

mod hosted;

use std::time::Duration;

use bytes::Bytes;
use hosted::{HostedRun, READ, WALL, dispatched_in, outcome_in, report_in};
use poplartrail_core::{
    call::{Answer, Outcome, Refusal},
    engine::{Input, PeerOutcome},
    names::InstanceName,
    route::GateReport,
    time::Time,
    upstream::{CallRate, NamedLimit, UpstreamIncarnation, UpstreamNotice, UpstreamTerms},
};
use test_case::test_case;

const NOW: Time = Time::from_millis(10);
const DEADLINE: Time = Time::from_millis(5_000);

fn terms(per_second: f64, age_ms: u64) -> UpstreamTerms {
    UpstreamTerms {
        incarnation: UpstreamIncarnation {
            instance: InstanceName::new("i-1").unwrap(),
            started_at: WALL,
        },
        limit: CallRate::from_per_second(per_second),
        age: Duration::from_millis(age_ms),
        is_leaving: false,
    }
}

/// Returns how many of 100 calls at the same time are dispatched, each of which states `terms`.
fn dispatched(run: &mut HostedRun, terms: Option<&UpstreamTerms>) -> usize {
    let calls = (0..100).map(|_| run.receive_stated_call(NOW, DEADLINE, terms.cloned()));
    calls.map(|out| dispatched_in(&out).len()).sum()
}

fn answer(run: &mut HostedRun, limit: NamedLimit) -> GateReport {
    let out = run.receive_call_at(NOW, DEADLINE);
    let call = dispatched_in(&out)[0];
    let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
    let notice = Some(UpstreamNotice { limit, is_leaving: false });
    let out = run.handle_at(NOW, Input::UpstreamDone { call, result, notice });
    report_in(&out).expect("a reply")
}

#[test]
fn stated_limit_holds_before_the_first_answer() {
    let mut run = HostedRun::new();
    run.register_upstream(1_000);
    assert_eq!(dispatched(&mut run, Some(&terms(2.0, 3_000))), 1);
}

#[test_case(&[(8.0, 3_000), (2.0, 500)], 2.0; "the newest counts")]
#[test_case(&[(2.0, 500), (8.0, 3_000)], 2.0; "in either order")]
#[test_case(&[(8.0, 700_000), (2.0, 900_000)], 2.0; "the lower of two from before the start")]
fn one_of_several_figures_holds(stated: &[(f64, u64)], expected: f64) {
    let mut run = HostedRun::new();
    run.send_heartbeat_at(Time::from_millis(5_000), WALL, 1_000);
    for (per_second, age_ms) in stated {
        run.receive_stated_call(
            Time::from_millis(5_000),
            DEADLINE,
            Some(terms(*per_second, *age_ms)),
        );
    }
    let limit = run.named_limit(Time::from_millis(5_000));
    assert_eq!(limit, CallRate::from_per_second(expected));
}

/// The instance has answered this process without a limit, so others have heard of an earlier one.
#[test]
fn own_answer_goes_before_others() {
    let mut run = HostedRun::new();
    run.register_upstream(1_000);
    answer(&mut run, NamedLimit::Absent);
    assert_eq!(dispatched(&mut run, Some(&terms(2.0, 10))), 100);
}

#[test]
fn terms_of_another_incarnation_are_ignored() {
    let mut run = HostedRun::new();
    run.send_heartbeat(WALL + Duration::from_secs(1), 1_000);
    assert_eq!(dispatched(&mut run, Some(&terms(2.0, 10))), 100);
}

#[test]
fn reply_reports_the_limit() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    assert_eq!(answer(&mut run, NamedLimit::Absent).terms, None);
    let rate = CallRate::from_per_second(12.2).unwrap();
    assert_eq!(answer(&mut run, NamedLimit::Rate(rate)).terms, Some(terms(12.2, 0)));
    // The gate has used up its calls, and counts as full.
    run.receive_call_at(NOW, DEADLINE);
    let report = report_in(&run.receive_late_call(NOW)).expect("a refusal");
    assert!(report.load >= 1_024, "load {}", report.load);
}

/// A call that states what it has heard reaches each process of the other node.
#[test]
fn calls_state_what_replies_reported() {
    let mut run = HostedRun::new();
    let call = run.forward(READ);
    assert_eq!(call.terms, None);
    let vm = call.vm.clone();
    run.answer_with_terms(&call, Some(terms(2.0, 40)));
    let next = run.forward_to(READ, &vm);
    assert_eq!(next.terms, Some(terms(2.0, 40)));
    run.restart_member(&vm);
    let next = run.forward_to(READ, &vm);
    assert_eq!(next.terms, Some(terms(2.0, 40)), "forgotten with the restart");
    // A refusal without terms is not the upstream's word, an answer without terms is.
    run.refuse(&next, Refusal::TooLate, 0);
    let next = run.forward_to(READ, &vm);
    assert_eq!(next.terms, Some(terms(2.0, 40)));
    run.answer_with_terms(&next, None);
    assert_eq!(run.forward_to(READ, &vm).terms, None);
}

/// What is over goes to another instance; if there is none with room, the caller learns when to
/// come back.
#[test]
fn excess_is_rerouted_then_refused() {
    let mut run = HostedRun::new();
    let call = run.forward(READ);
    let out = run.refuse(&call, Refusal::QueueFull, 2_048);
    let second = hosted::forwarded_in(&out).expect("rerouted to the other instance");
    assert_ne!(second.vm, call.vm);
    let outcome = PeerOutcome::NotRun {
        reason: Refusal::QueueFull,
        retry_after: Some(Duration::from_secs(2)),
        refused_by: second.vm.clone(),
    };
    let report = GateReport { load: 2_048, config_version: 1, ..GateReport::default() };
    let input = Input::PeerDone {
        call: second.call,
        attempt: second.attempt,
        result: Ok((outcome, report)),
    };
    match outcome_in(&run.handle(input)) {
        Some(Outcome::NotRun(not_run)) => {
            assert_eq!(not_run.retry_after(), Some(Duration::from_secs(2)));
        }
        other => panic!("{other:?}"),
    }
}

/// At one call in two seconds, coming back after a second would be too early.
#[test]
fn retry_delay_fits_the_limit() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    run.receive_stated_call(NOW, DEADLINE, Some(terms(0.5, 0)));
    let out = run.receive_stated_call(NOW, DEADLINE, None);
    match outcome_in(&out) {
        Some(Outcome::NotRun(not_run)) => {
            let delay = not_run.retry_after().expect("a delay");
            assert!((1_900..=5_000).contains(&delay.as_millis()), "{delay:?}");
        }
        other => panic!("{other:?}"),
    }
}

//! An upstream that says in an answer that it is about to exit.
//!
//! Guards against calls to it from any node that has heard of that answer.

mod hosted;

use std::time::Duration;

use bytes::Bytes;
use hosted::{HostedRun, READ, WALL, dispatched_in, record_in, report_in};
use poplartrail_core::{
    call::{Answer, Refusal},
    engine::{CallKey, Input, Output},
    member::MemberState,
    names::InstanceName,
    time::Time,
    upstream::{NamedLimit, UpstreamIncarnation, UpstreamNotice, UpstreamTerms},
};

const NOW: Time = Time::from_millis(10);
const DEADLINE: Time = Time::from_millis(5_000);

fn terms() -> UpstreamTerms {
    UpstreamTerms {
        incarnation: UpstreamIncarnation {
            instance: InstanceName::new("i-1").unwrap(),
            started_at: WALL,
        },
        limit: None,
        age: Duration::ZERO,
        is_leaving: true,
    }
}

fn answer_leaving(run: &mut HostedRun) -> Vec<Output> {
    let call = dispatched_in(&run.receive_call_at(NOW, DEADLINE))[0];
    let result = Ok(Answer { status: 500, fields: Vec::new(), body: Bytes::new() });
    let notice = Some(UpstreamNotice { limit: NamedLimit::Absent, is_leaving: true });
    run.handle_at(NOW, Input::UpstreamDone { call, result, notice })
}

#[test]
fn answer_closes_the_gate_and_is_announced() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    let out = answer_leaving(&mut run);
    assert_eq!(record_in(&out).map(|record| record.state), Some(MemberState::Draining));
    let report = report_in(&out).expect("a reply");
    assert!(report.is_draining, "the caller's node would send another call");
    assert_eq!(report.terms, Some(terms()));
    assert!(dispatched_in(&run.receive_call_at(NOW, DEADLINE)).is_empty());
}

#[test]
fn stated_end_closes_the_gate() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    assert!(dispatched_in(&run.receive_stated_call(NOW, DEADLINE, Some(terms()))).is_empty());
    assert!(dispatched_in(&run.receive_call_at(NOW, DEADLINE)).is_empty());
}

/// A call of another node that has heard of the previous incarnation.
#[test]
fn end_of_the_previous_incarnation_is_ignored() {
    let mut run = HostedRun::new();
    run.send_heartbeat(WALL + Duration::from_secs(1), 8);
    let out = run.receive_stated_call(NOW, DEADLINE, Some(terms()));
    assert_eq!(dispatched_in(&out).len(), 1);
}

/// The answer of the previous incarnation arrives after the next one has registered.
#[test]
fn late_answer_ends_no_other_incarnation() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    let call = dispatched_in(&run.receive_call_at(NOW, DEADLINE))[0];
    run.send_heartbeat_at(Time::from_millis(20), WALL + Duration::from_secs(1), 8);
    let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
    let notice = Some(UpstreamNotice { limit: NamedLimit::Absent, is_leaving: true });
    run.handle_at(Time::from_millis(30), Input::UpstreamDone { call, result, notice });
    assert_eq!(dispatched_in(&run.receive_call_at(Time::from_millis(40), DEADLINE)).len(), 1);
}

/// An answer that was under way says nothing of it, but an upstream never takes it back.
#[test]
fn statement_is_kept_until_the_next_incarnation() {
    let mut run = HostedRun::new();
    let call = run.forward(READ);
    let vm = call.vm.clone();
    run.answer_with_terms(&call, Some(terms()));
    run.restart_member(&vm);
    let next = run.forward_to(READ, &vm);
    assert_eq!(next.terms, Some(terms()), "forgotten with the restart");
    run.answer_with_terms(&next, None);
    assert_eq!(run.forward_to(READ, &vm).terms, Some(terms()));
}

/// Calls that wait at the gate go elsewhere.
#[test]
fn waiting_calls_are_refused() {
    let mut run = HostedRun::new();
    run.register_upstream(1);
    let running = dispatched_in(&run.receive_call_at(NOW, DEADLINE))[0];
    run.receive_call_at(NOW, DEADLINE);
    let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
    let notice = Some(UpstreamNotice { limit: NamedLimit::Absent, is_leaving: true });
    let out = run.handle_at(NOW, Input::UpstreamDone { call: running, result, notice });
    assert!(dispatched_in(&out).is_empty());
    let refused = hosted::refusals_in(&out);
    assert_eq!(refused, [Refusal::Draining]);
}

/// A node that has learned it from the store tells the nodes that call it.
#[test]
fn restored_end_is_reported() {
    let mut previous = HostedRun::new();
    previous.send_heartbeat(WALL, 8);
    let record = record_in(&previous.deregister(WALL)).expect("announced");
    let mut run = HostedRun::new();
    run.read_local_record(record);
    let report = report_in(&run.receive_call_at(NOW, DEADLINE)).expect("a refusal");
    assert_eq!(report.terms, Some(terms()));
}

/// Nobody gets the answer to a call that has ended, and it may be of an earlier incarnation.
#[test]
fn answer_to_an_ended_call_is_ignored() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
    let notice = Some(UpstreamNotice { limit: NamedLimit::Absent, is_leaving: true });
    run.handle_at(NOW, Input::UpstreamDone { call: CallKey::default(), result, notice });
    assert_eq!(dispatched_in(&run.receive_call_at(NOW, DEADLINE)).len(), 1);
}

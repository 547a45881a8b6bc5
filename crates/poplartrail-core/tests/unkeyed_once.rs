//! Requests without a key that may run at most once: what is sent again, and what is told.

mod hosted;

use hosted::{BOOK, FAR, HostedRun, READ, sent_in, told_in};
use poplartrail_core::{
    call::{Outcome, Refusal},
    engine::{Input, Output, PeerFault},
};
use test_case::test_case;

#[test]
fn lost_call_is_unknown_and_not_repeated() {
    let mut run = HostedRun::new();
    let call = run.sent(BOOK);
    let out = run.fail(&call, PeerFault::Lost);
    assert!(sent_in(&out).is_none(), "{out:?}");
    assert!(matches!(told_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test]
fn silent_connection_leaves_it_unknown() {
    let mut run = HostedRun::new();
    let call = run.sent(BOOK);
    let out = run.handle(Input::PeerSilent(call.vm));
    assert!(sent_in(&out).is_none(), "{out:?}");
    assert!(matches!(told_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test_case(BOOK)]
#[test_case(READ)]
fn unsent_call_goes_elsewhere(path: &str) {
    let mut run = HostedRun::new();
    let call = run.sent(path);
    let moved = sent_in(&run.fail(&call, PeerFault::Unsent));
    assert_eq!(moved.expect("it goes elsewhere").vm.as_str(), FAR);
}

#[test_case(Refusal::Draining)]
#[test_case(Refusal::Starting)]
#[test_case(Refusal::UnknownService; "the address has a new owner")]
fn refused_call_goes_elsewhere(reason: Refusal) {
    let mut run = HostedRun::new();
    let call = run.sent(BOOK);
    let moved = sent_in(&run.refuse(&call, reason, 0)).expect("it goes elsewhere");
    assert_eq!(moved.vm.as_str(), FAR);
    // Only what happens to the send in hand counts.
    assert!(run.answer(&call, 0).is_empty());
    assert!(matches!(told_in(&run.answer(&moved, 0)), Some(Outcome::Answered(_))));
}

#[test]
fn moves_have_a_bound() {
    let mut run = HostedRun::new();
    let mut call = run.sent(BOOK);
    for _ in 0..10 {
        let out = run.refuse(&call, Refusal::Starting, 0);
        match sent_in(&out) {
            Some(next) => call = next,
            None => {
                assert!(matches!(told_in(&out), Some(Outcome::NotRun(_))), "{out:?}");
                return;
            }
        }
    }
    panic!("the call wanders about");
}

#[test]
fn lost_read_is_tried_within_its_attempts() {
    let mut run = HostedRun::new();
    let first = run.sent(READ);
    let second = sent_in(&run.fail(&first, PeerFault::Lost)).expect("a second attempt");
    let out = run.fail(&second, PeerFault::Lost);
    assert!(sent_in(&out).is_none(), "the route allows two attempts: {out:?}");
    assert!(matches!(told_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test]
fn instance_out_of_reach_is_probed_before_it_is_chosen() {
    let mut run = HostedRun::new();
    let call = run.sent(READ);
    let near = call.vm.clone();
    run.fail(&call, PeerFault::Unsent);
    for _ in 0..5 {
        assert_eq!(run.sent(READ).vm.as_str(), FAR);
    }
    run.handle(Input::PeerReachable(near.clone()));
    let out = run.request(READ);
    assert_eq!(sent_in(&out).expect("a send").vm, near);
    assert!(!out.iter().any(|output| matches!(output, Output::Probe { .. })));
}

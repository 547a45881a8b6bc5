//! Requests without a key that may run at most once: when they are sent again, and which outcome
//! the caller gets.

mod hosted;

use hosted::{BOOK, FAR, HostedRun, READ, forwarded_in, outcome_in};
use poplartrail_core::{
    call::{Outcome, Refusal},
    engine::{Input, Output, PeerFault},
};
use test_case::test_case;

#[test]
fn lost_call_is_unknown_and_not_retried() {
    let mut run = HostedRun::new();
    let call = run.forward(BOOK);
    let out = run.fail(&call, PeerFault::Lost);
    assert!(forwarded_in(&out).is_none(), "{out:?}");
    assert!(matches!(outcome_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test]
fn silent_connection_is_unknown() {
    let mut run = HostedRun::new();
    let call = run.forward(BOOK);
    let out = run.handle(Input::PeerSilent(call.vm));
    assert!(forwarded_in(&out).is_none(), "{out:?}");
    assert!(matches!(outcome_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test_case(BOOK)]
#[test_case(READ)]
fn unsent_call_is_rerouted(path: &str) {
    let mut run = HostedRun::new();
    let call = run.forward(path);
    let rerouted = forwarded_in(&run.fail(&call, PeerFault::Unsent));
    assert_eq!(rerouted.expect("the call is rerouted").vm.as_str(), FAR);
}

#[test_case(Refusal::Draining)]
#[test_case(Refusal::Starting)]
#[test_case(Refusal::UnknownService; "the address has a new owner")]
fn refused_call_is_rerouted(reason: Refusal) {
    let mut run = HostedRun::new();
    let call = run.forward(BOOK);
    let rerouted = forwarded_in(&run.refuse(&call, reason, 0)).expect("the call is rerouted");
    assert_eq!(rerouted.vm.as_str(), FAR);
    // Only the result of the current attempt counts.
    assert!(run.answer(&call, 0).is_empty());
    assert!(matches!(outcome_in(&run.answer(&rerouted, 0)), Some(Outcome::Answered(_))));
}

#[test]
fn reroutes_are_bounded() {
    let mut run = HostedRun::new();
    let mut call = run.forward(BOOK);
    for _ in 0..10 {
        let out = run.refuse(&call, Refusal::Starting, 0);
        match forwarded_in(&out) {
            Some(next) => call = next,
            None => {
                assert!(matches!(outcome_in(&out), Some(Outcome::NotRun(_))), "{out:?}");
                return;
            }
        }
    }
    panic!("the call is rerouted without bound");
}

#[test]
fn lost_read_is_retried_within_its_attempts() {
    let mut run = HostedRun::new();
    let first = run.forward(READ);
    let second = forwarded_in(&run.fail(&first, PeerFault::Lost)).expect("a second attempt");
    let out = run.fail(&second, PeerFault::Lost);
    assert!(forwarded_in(&out).is_none(), "the route allows two attempts: {out:?}");
    assert!(matches!(outcome_in(&out), Some(Outcome::Unknown(_))), "{out:?}");
}

#[test]
fn unreachable_instance_is_probed_before_it_is_chosen() {
    let mut run = HostedRun::new();
    let call = run.forward(READ);
    let near = call.vm.clone();
    run.fail(&call, PeerFault::Unsent);
    for _ in 0..5 {
        assert_eq!(run.forward(READ).vm.as_str(), FAR);
    }
    run.handle(Input::PeerReachable(near.clone()));
    let out = run.request(READ);
    assert_eq!(forwarded_in(&out).expect("a forwarded call").vm, near);
    assert!(!out.iter().any(|output| matches!(output, Output::Connect { .. })));
}

//! Calls leave an overloaded availability zone, but not if every zone is overloaded.

mod hosted;

use hosted::{FAR, HostedRun, NEAR, READ, forwarded_in, outcome_in};
use poplartrail_core::call::{Outcome, Refusal};
use test_case::test_case;

/// Loads are in parts of 1 024 of an instance's limit.
#[test_case(500, 100, NEAR; "near has permits left")]
#[test_case(1_023, 0, NEAR; "near has its last permit left")]
#[test_case(1_500, 100, FAR; "near is full and far has room")]
#[test_case(1_500, 900, NEAR; "far keeps its last quarter for its own zone")]
#[test_case(1_500, 1_500, NEAR; "all are full")]
fn instance_follows_load(near: u16, far: u16, expected: &str) {
    let mut run = HostedRun::new();
    run.report_loads(near, far);
    for _ in 0..10 {
        assert_eq!(run.forward(READ).vm.as_str(), expected);
    }
}

#[test]
fn refused_call_is_rerouted_to_spare_capacity() {
    let mut run = HostedRun::new();
    run.report_loads(500, 100);
    let call = run.forward(READ);
    let rerouted = forwarded_in(&run.refuse(&call, Refusal::QueueFull, 2_000));
    assert_eq!(rerouted.expect("the call is rerouted").vm.as_str(), FAR);
}

#[test]
fn overload_reroutes_no_call_to_another_full_gate() {
    let mut run = HostedRun::new();
    run.report_loads(500, 1_500);
    for _ in 0..10 {
        let call = run.forward(READ);
        let out = run.refuse(&call, Refusal::QueueFull, 2_000);
        assert!(forwarded_in(&out).is_none(), "{out:?}");
        assert!(matches!(outcome_in(&out), Some(Outcome::NotRun(_))), "{out:?}");
    }
}

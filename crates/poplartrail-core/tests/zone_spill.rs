//! When calls leave their availability zone: one that is short of places, then all of them.

mod hosted;

use hosted::{FAR, HostedRun, NEAR, READ, sent_in, told_in};
use poplartrail_core::call::{Outcome, Refusal};
use test_case::test_case;

/// Loads are parts of 1 024 of an instance's places.
#[test_case(500, 100, NEAR; "near has places")]
#[test_case(1_023, 0, NEAR; "near has its last place")]
#[test_case(1_500, 100, FAR; "near is full and far has room")]
#[test_case(1_500, 900, NEAR; "far keeps its rest for its own zone")]
#[test_case(1_500, 1_500, NEAR; "all are full")]
fn place_follows_load(near: u16, far: u16, expected: &str) {
    let mut run = HostedRun::new();
    run.report_loads(near, far);
    for _ in 0..10 {
        assert_eq!(run.sent(READ).vm.as_str(), expected);
    }
}

#[test]
fn refused_call_finds_room_elsewhere() {
    let mut run = HostedRun::new();
    run.report_loads(500, 100);
    let call = run.sent(READ);
    let moved = sent_in(&run.refuse(&call, Refusal::QueueFull, 2_000));
    assert_eq!(moved.expect("it goes elsewhere").vm.as_str(), FAR);
}

#[test]
fn flood_moves_no_call_from_one_full_gate_to_the_next() {
    let mut run = HostedRun::new();
    run.report_loads(500, 1_500);
    for _ in 0..10 {
        let call = run.sent(READ);
        let out = run.refuse(&call, Refusal::QueueFull, 2_000);
        assert!(sent_in(&out).is_none(), "{out:?}");
        assert!(matches!(told_in(&out), Some(Outcome::NotRun(_))), "{out:?}");
    }
}

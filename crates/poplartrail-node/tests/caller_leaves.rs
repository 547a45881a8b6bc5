//! Callers that close their connection while their request runs.

use poplartrail_stand::hosted::{HostedNode, StandInstance};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

/// Starts a node and instance, and a request for `path` that is at work when this returns.
fn running(path: &str) -> (HostedNode, StandInstance) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    caller.send("GET", HOST, path, "a1");
    node.await_condition("at work", || node.in_flight() == Some(1));
    // The caller closes here.
    drop(caller);
    (node, instance)
}

#[test]
fn read_is_broken_off() {
    let (node, instance) = running("/read/slow-3500");
    node.await_condition("broken off", || node.in_flight() == Some(0));
    assert_eq!(instance.completed(), 0, "the place was free before the work could end");
}

#[test]
fn action_runs_to_its_end() {
    let (node, instance) = running("/book/slow-700");
    node.await_condition("over", || node.in_flight() == Some(0));
    assert_eq!((instance.completed(), instance.runs("a1")), (1, 1), "its outcome is known");
}

#[test]
fn pipelined_requests_are_broken_off_together() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    for turn in 0..3 {
        caller.send("GET", HOST, "/read/slow-3500", &format!("b{turn}"));
    }
    node.await_condition("at work", || node.in_flight() == Some(3));
    drop(caller);
    node.await_condition("broken off", || node.in_flight() == Some(0));
    assert_eq!(instance.completed(), 0);
}

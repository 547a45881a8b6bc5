//! Callers that close their connection while their request runs.
//!
//! Guards against reads that keep occupying the instance although nobody waits for them, and
//! against actions that are cancelled midway, after which nobody knows whether they took effect.

use poplartrail_stand::hosted::{HostedNode, StandInstance};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

/// Starts a node, its instance and a request for `path`, and closes the caller's connection once
/// the request is running.
fn abandoned_request(path: &str) -> (HostedNode, StandInstance) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    caller.send("GET", HOST, path, "a1");
    node.await_condition("running", || node.in_flight() == Some(1));
    drop(caller);
    (node, instance)
}

#[test]
fn abandoned_read_is_cancelled() {
    let (node, instance) = abandoned_request("/read/slow-3500");
    node.await_condition("without a request in progress", || node.in_flight() == Some(0));
    assert_eq!(instance.completed(), 0, "the work ended instead of being cancelled");
}

#[test]
fn abandoned_action_completes() {
    let (node, instance) = abandoned_request("/book/slow-700");
    node.await_condition("without a request in progress", || node.in_flight() == Some(0));
    assert_eq!(
        (instance.completed(), instance.runs("a1")),
        (1, 1),
        "the action did not run exactly once, to its end"
    );
}

#[test]
fn abandoned_pipeline_is_cancelled() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    for turn in 0..3 {
        caller.send("GET", HOST, "/read/slow-3500", &format!("b{turn}"));
    }
    node.await_condition("running", || node.in_flight() == Some(3));
    drop(caller);
    node.await_condition("without a request in progress", || node.in_flight() == Some(0));
    assert_eq!(instance.completed(), 0);
}

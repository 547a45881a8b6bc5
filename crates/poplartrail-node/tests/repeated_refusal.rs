//! A refusal that a faulty instance writes once more on a kept connection.
//!
//! Guards against taking it for the answer to a later try of the same request, whose caller would
//! then be told that it has not run while it runs.

use poplartrail_stand::hosted::HostedNode;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

#[test]
fn repeated_refusal_is_no_answer() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    for number in 0..10 {
        let id = format!("a{number}");
        // The node may try again by itself; the caller does so with the same identity.
        for _ in 0..3 {
            let runs_before = instance.runs(&id);
            let reply = node.caller().call("POST", HOST, "/book/again", &id).expect("an answer");
            let runs = instance.runs(&id) - runs_before;
            assert!(runs <= 1, "{id} ran {runs} times");
            assert!(reply.status != 503 || runs == 0, "{id} ran and was answered \"not run\"");
        }
        assert!(instance.runs(&id) > 0, "{id} never ran");
    }
}

/// The refusals of one connection do not keep other requests from using it.
#[test]
fn connection_is_kept_after_refusals() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    for number in 0..10 {
        let reply = caller.call("POST", HOST, "/book/full", &format!("b{number}"));
        assert_eq!(reply.expect("an answer").status, 503);
        let reply = caller.call("GET", HOST, "/read/ok", &format!("c{number}"));
        assert_eq!(reply.expect("an answer").status, 200);
    }
    assert_eq!(instance.total_runs(), 10);
}

//! An instance that leaves, with and without notice, and heartbeats that come late.

use poplartrail_stand::hosted::HostedNode;
use serde_json::json;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

#[test_case(true; "it says that it is draining")]
#[test_case(false; "it says only that it exits")]
fn acknowledgement_closes_the_gate(has_notice: bool) {
    let (store, instance, mut node) = HostedNode::start_single(SITE);
    // The gate is closed whether or not the others can be told.
    store.set_down(true);
    let status = if has_notice {
        node.send_heartbeat(&instance, "draining")
    } else {
        node.send_deregistration(&instance)
    };
    assert_eq!(status, 200);
    for turn in 0..5 {
        let id = format!("a{turn}");
        let reply = node.caller().call("POST", HOST, "/book/ok", &id).expect("an answer");
        assert_eq!(reply.status, 503, "not run, so it may be sent elsewhere");
        assert_eq!(instance.runs(&id), 0);
    }
}

#[test]
fn late_heartbeat_does_not_bring_it_back() {
    let (_store, instance, mut node) = HostedNode::start_single(SITE);
    assert_eq!(node.send_heartbeat(&instance, "draining"), 200);
    let late = json!({
        "service": "routes", "address": instance.addr().to_string(), "zone": "zone-a",
        "version": "v1", "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1, "born": 1_000,
    });
    node.send_raw_heartbeat(instance.id(), &late.to_string());
    assert_eq!(node.caller().call("GET", HOST, "/read/ok", "b1").expect("an answer").status, 503);
    assert_eq!(node.send_deregistration(&instance), 200);
    node.send_raw_heartbeat(instance.id(), &late.to_string());
    assert_eq!(node.caller().call("GET", HOST, "/read/ok", "b2").expect("an answer").status, 503);

    let mut next = late;
    next["born"] = json!(2_000);
    assert_eq!(
        node.send_raw_heartbeat("i-1", &next.to_string()),
        200,
        "a new start under the old name"
    );
    assert_eq!(node.caller().call("GET", HOST, "/read/ok", "b3").expect("an answer").status, 200);
}

#[test_case("no JSON at all"; "no json")]
#[test_case(r#"{"service":"routes","state":"ready"}"#; "fields missing")]
#[test_case(r#"{"service":"routes","address":"1.2.3.4:5","slots":4,"state":"asleep","seq":9}"#; "unknown state")]
#[test_case(r#"{"service":"routes","address":7,"slots":"4","state":"ready","seq":9}"#; "other types")]
fn malformed_heartbeat_names_no_instance(body: &str) {
    let (_store, instance, mut node) = HostedNode::start_single(SITE);
    assert_eq!(node.send_raw_heartbeat("i-9", body), 400);
    assert_eq!(node.caller().call("GET", HOST, "/read/ok", "c1").expect("an answer").status, 200);
    assert_eq!(node.send_heartbeat(&instance, "ready"), 200);
    // Lines are written by a thread of their own.
    node.await_condition("told in the log", || node.output().contains("heartbeat refused"));
}

#[test]
fn foreign_heartbeat_is_refused() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let other = json!({
        "service": "swaps", "address": instance.addr().to_string(), "slots": 4, "state": "draining",
        "seq": 99, "born": 9_000,
    });
    assert_eq!(node.send_raw_heartbeat("i-7", &other.to_string()), 409);
    assert_eq!(node.caller().call("GET", HOST, "/read/ok", "d1").expect("an answer").status, 200);
}

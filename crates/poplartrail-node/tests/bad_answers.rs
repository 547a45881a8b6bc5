//! Answers of an instance that are truncated, duplicated, misdirected, unsigned or missing.
//!
//! Guards against a caller that gets such an answer as its own, against a second run of an action,
//! and against a status that tells the caller that an action which ran has not run.

use poplartrail_stand::hosted::HostedNode;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

#[test_case("cut")]
#[test_case("unsigned")]
#[test_case("lost")]
fn action_with_bad_answer_is_unknown(fault: &str) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply =
        node.caller().call("POST", HOST, &format!("/book/{fault}"), "a1").expect("an answer");
    assert_eq!(reply.status, 502, "the status means success or \"not run\"");
    assert!(!reply.body.contains("answer to"), "{}", reply.body);
    assert_eq!(instance.runs("a1"), 1);
}

/// An instance in trouble states a number that is no status, with a signature and a whole body.
#[test_case("000")]
#[test_case("099")]
#[test_case("600")]
#[test_case("999")]
#[test_case("0200"; "four digits")]
#[test_case("20"; "two digits")]
#[test_case("-20"; "sign")]
fn number_that_is_no_status_is_no_answer(status: &str) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let path = format!("/book/status-{status}");
    let reply = node.caller().call("POST", HOST, &path, "g1").expect("an answer");
    assert_eq!((reply.status, instance.runs("g1")), (502, 1));
    assert!(!reply.headers.contains_key("x-server-signature"), "taken for the instance's answer");
    let path = format!("/read/status-{status}");
    let reply = node.caller().call("GET", HOST, &path, "g2").expect("an answer");
    assert_eq!((reply.status, instance.runs("g2")), (502, 2), "read again within its attempts");
    let reply = node.caller().call("GET", HOST, "/read/ok", "g3").expect("an answer");
    assert_eq!(reply.body, "answer to g3", "the connection is not used again");
}

#[test]
fn lost_read_is_retried_within_attempts() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("GET", HOST, "/read/lost", "b1").expect("an answer");
    assert_eq!(reply.status, 502);
    assert_eq!(instance.runs("b1"), 2, "not the two attempts that the route allows");
}

#[test]
fn failure_of_the_instance_is_passed_on() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("GET", HOST, "/read/500", "c1").expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (500, "failed"));
    assert_eq!(instance.runs("c1"), 1);
}

#[test]
fn full_instance_runs_nothing() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("POST", HOST, "/book/full", "d1").expect("an answer");
    assert_eq!(reply.status, 503);
    assert_eq!(instance.runs("d1"), 0);
}

/// The instance states a keep-alive timeout that no clock can hold.
#[test]
fn endless_keep_alive_is_no_fault() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    for turn in 0..3 {
        let id = format!("f{turn}");
        let reply = node.caller().call("POST", HOST, "/book/kept", &id).expect("an answer");
        assert_eq!((reply.status, instance.runs(&id)), (200, 1));
    }
    assert!(!node.output().contains("panicked"), "{}", node.output());
}

#[test_case("extra")]
#[test_case("foreign")]
fn every_caller_gets_its_own_answer(fault: &str) {
    let (_store, _instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    for turn in 0..20 {
        let id = format!("e{turn}");
        let path = if turn % 2 == 0 { format!("/read/{fault}") } else { "/read/ok".to_owned() };
        let reply = caller.call("GET", HOST, &path, &id).expect("an answer");
        assert_eq!(reply.body, format!("answer to {id}"));
        assert_eq!(reply.headers["x-request-id"], id.as_str());
    }
}

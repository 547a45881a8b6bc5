//! An instance whose answers say that it is leaving.
//!
//! Guards against calls to an instance that has said so only in its answers, and against a restart
//! of its node that forgets it.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::{HostedNode, StandInstance};
use serde_json::json;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
const LEAVING: &str = "server-leaving: 1\r\n";

fn book(node: &HostedNode, id: &str) -> u16 {
    node.caller().call("POST", HOST, "/book/ok", id).expect("an answer").status
}

fn assert_refused(node: &HostedNode, instance: &StandInstance, id: &str) {
    assert_eq!(book(node, id), 503, "an answer has said that the instance leaves");
    assert_eq!(instance.runs(id), 0);
}

/// Sends a heartbeat in state `ready` of the start of the instance at `started_ms`.
fn send_ready(node: &HostedNode, instance: &StandInstance, started_ms: u64) -> u16 {
    let heartbeat = json!({
        "service": "routes", "address": instance.addr().to_string(), "zone": "zone-a",
        "version": "v1", "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 90,
        "born": started_ms,
    });
    node.send_raw_heartbeat(instance.id(), &heartbeat.to_string())
}

#[test]
fn answer_ends_new_calls() {
    let (_store, instance, mut node) = HostedNode::start_single(SITE);
    instance.set_notice(LEAVING);
    assert_eq!(book(&node, "a1"), 200, "the answer itself is passed on");
    assert_refused(&node, &instance, "a2");
    // Heartbeats follow the answer: one that is late, and one that says the same.
    send_ready(&node, &instance, 1_000);
    assert_refused(&node, &instance, "a3");
    assert_eq!(node.send_heartbeat(&instance, "draining"), 200);
    assert_refused(&node, &instance, "a4");
    assert_eq!(node.send_deregistration(&instance), 200);
    assert_refused(&node, &instance, "a5");
}

#[test]
fn next_start_after_answer_is_served() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    instance.set_notice(LEAVING);
    assert_eq!(book(&node, "b1"), 200);
    assert_refused(&node, &instance, "b2");
    instance.set_notice("");
    assert_eq!(send_ready(&node, &instance, 2_000), 200);
    assert_eq!(book(&node, "b3"), 200, "a new start of the instance was refused");
}

/// The record in the store tells the next process, as after a heartbeat in state `draining`.
#[test]
fn restart_forgets_nothing() {
    let (store, instance, mut node) = HostedNode::start_single(SITE);
    node.await_condition("announced", || store.newest("keyed.members", b"vm-1").is_some());
    let ready = store.newest("keyed.members", b"vm-1");
    instance.set_notice(LEAVING);
    assert_eq!(book(&node, "c1"), 200);
    node.await_condition("stored", || store.newest("keyed.members", b"vm-1") != ready);
    node.restart();
    node.await_ready();
    send_ready(&node, &instance, 1_000);
    assert_refused(&node, &instance, "c2");
}

/// The store holds no record of it, but a node that has passed on the answer knows.
#[test]
fn other_node_knows_after_a_restart() {
    let (store, instance, mut home) = HostedNode::start_single(SITE);
    let swaps = StandInstance::start("i-2");
    let mut other = HostedNode::start("vm-2", "swaps", &store, &swaps);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&swaps, "ready"), 200);
    let mut turn = 0;
    other.await_condition("the instance is reached", || {
        turn += 1;
        book(&other, &format!("start-{turn}")) == 200
    });
    store.set_topic_down("keyed.members", true);
    instance.set_notice(LEAVING);
    assert_eq!(book(&other, "d1"), 200);
    home.restart();
    home.await_ready();
    store.set_topic_down("keyed.members", false);
    home.await_acknowledged(|home| send_ready(home, &instance, 1_000));
    instance.set_notice("");
    for turn in 0..20 {
        let id = format!("d2-{turn}");
        book(&other, &id);
        assert_eq!(instance.runs(&id), 0, "an answer has said that the instance leaves");
        sleep(Duration::from_millis(100));
    }
}

//! A store that comes back from a copy: what was written since is gone, and offsets are given out
//! again.
//!
//! Guards against a node that goes on to read from an offset of before, and against records of its
//! own that stay lost.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};
use serde_json::json;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
const MEMBERS: &str = "keyed.members";
/// Key of the record of the node.
const VM: &[u8] = b"vm-1";

/// Returns the site document in `version`.
fn site(version: u64) -> String {
    SITE.replace("\"00000007\"", &format!("\"{version:08x}\""))
}

fn has_version(node: &HostedNode, version: u64) -> bool {
    node.status().is_some_and(|status| status["config"] == json!(version))
}

/// Starts a store, and a node whose record and drain are written after the copy that is returned.
fn start() -> (StandStore, poplartrail_stand::hosted::StoreCopy, StandInstance, HostedNode) {
    let store = StandStore::start();
    store.publish(SITE);
    let copy = store.copy();
    let instance = StandInstance::start("i-1");
    let mut node = HostedNode::start("vm-1", "routes", &store, &instance);
    node.await_ready();
    assert_eq!(node.send_heartbeat(&instance, "ready"), 200);
    node.await_condition("announced", || store.newest(MEMBERS, VM).is_some());
    (store, copy, instance, node)
}

/// As many records are written again as were lost, so that the node's next offset exists.
#[test_case(false; "while reads wait")]
#[test_case(true; "while the store is away")]
fn change_at_an_offset_of_before_is_read(is_away: bool) {
    let (store, copy, _instance, node) = start();
    for version in [8, 9] {
        store.publish(&site(version));
    }
    node.await_condition("configuration 9", || has_version(&node, 9));
    if is_away {
        store.set_down(true);
        sleep(Duration::from_millis(300));
    }
    let documents = [site(9), site(10)];
    let config = |document: &'static str| ("keyed.op", &b"config"[..], document.as_bytes());
    let rewritten = documents.map(|document| config(document.leak()));
    store.restore(&copy, &rewritten);
    store.set_down(false);
    node.await_condition("configuration 10", || has_version(&node, 10));
}

#[test]
fn own_record_is_written_again() {
    let (store, copy, _instance, node) = start();
    let record = store.newest(MEMBERS, VM);
    store.restore(&copy, &[]);
    node.await_condition("written again", || store.newest(MEMBERS, VM) == record);
    // A second restore soon after loses it once more.
    store.restore(&copy, &[]);
    node.await_condition("written again", || store.newest(MEMBERS, VM) == record);
}

#[test]
fn record_in_the_copy_is_not_written_again() {
    let (store, _copy, _instance, node) = start();
    let appends = store.appends();
    let copy = store.copy();
    store.publish(&site(8));
    node.await_condition("configuration 8", || has_version(&node, 8));
    store.restore(&copy, &[]);
    store.publish(&site(9));
    node.await_condition("configuration 9", || has_version(&node, 9));
    sleep(Duration::from_secs(2));
    assert_eq!(store.appends(), appends);
}

/// The acknowledgement was given, and its record is gone.
#[test_case(true; "draining heartbeat")]
#[test_case(false; "deregistration")]
fn acknowledged_end_outlives_a_restore(is_heartbeat: bool) {
    let (store, _copy, instance, mut node) = start();
    let copy = store.copy();
    let ready = store.newest(MEMBERS, VM);
    assert_eq!(node.send_end(&instance, is_heartbeat), 200);
    let draining = store.newest(MEMBERS, VM);
    assert_ne!(draining, ready);
    store.restore(&copy, &[]);
    node.await_condition("written again", || store.newest(MEMBERS, VM) == draining);
    node.restart();
    node.await_ready();
    let late = json!({
        "service": "routes", "address": instance.addr().to_string(), "zone": "zone-a",
        "version": "v1", "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 9, "born": 1_000,
    });
    node.send_raw_heartbeat(instance.id(), &late.to_string());
    let reply = node.caller().call("POST", HOST, "/book/ok", "a1").expect("an answer");
    assert_eq!((reply.status, instance.runs("a1")), (503, 0));
}

/// A node that has started since the copy is found by one that starts after the restore.
#[test]
fn later_node_finds_one_that_was_lost() {
    let (store, copy, instance, node) = start();
    store.restore(&copy, &[]);
    let other_instance = StandInstance::start("i-2");
    let mut other = HostedNode::start("vm-2", "swaps", &store, &other_instance);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&other_instance, "ready"), 200);
    let mut turn = 0;
    other.await_condition("the instance is reached", || {
        turn += 1;
        let id = format!("c{turn}");
        other.caller().call("GET", HOST, "/read/ok", &id).is_some_and(|reply| reply.status == 200)
    });
    assert!(instance.total_runs() > 0);
    drop(node);
}

/// The store holds an older configuration until the operators have written theirs again.
#[test]
fn older_configuration_is_not_taken() {
    let (store, copy, _instance, node) = start();
    store.publish(&site(9));
    node.await_condition("configuration 9", || has_version(&node, 9));
    store.restore(&copy, &[]);
    for _ in 0..20 {
        assert!(has_version(&node, 9), "a running node went back to an older version");
        sleep(Duration::from_millis(100));
    }
    store.publish(&site(9));
    store.publish(&site(10));
    node.await_condition("configuration 10", || has_version(&node, 10));
}

/// An era says nothing that the node could rely on if it is no number or goes back.
#[test_case("era"; "no number")]
#[test_case("-3"; "negative")]
#[test_case("0"; "goes back")]
fn odd_era_does_no_harm(era: &str) {
    let (store, _copy, _instance, node) = start();
    store.set_era("5");
    store.publish(&site(8));
    node.await_condition("configuration 8", || has_version(&node, 8));
    store.set_era(era);
    let reads = store.total_reads();
    sleep(Duration::from_secs(1));
    store.publish(&site(9));
    node.await_condition("configuration 9", || has_version(&node, 9));
    assert!(store.total_reads() - reads < 40, "reads without a pause");
}

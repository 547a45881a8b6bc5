//! Faults of the platform's store.
//!
//! Guards against a node that stops serving, reverts to an older configuration or misses a record
//! when the store is down, is compacted, loses its response to an append, or holds records that are
//! not the node's or cannot be decoded.

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

/// The site document as version `version`, with another path for the reads.
fn with_moved_reads(version: &str) -> String {
    SITE.replace("00000007", version).replace("/read/", "/moved/")
}

fn status(node: &HostedNode, path: &str, id: &str) -> u16 {
    node.caller().call("GET", HOST, path, id).map_or(0, |reply| reply.status)
}

#[test]
fn serving_goes_on_without_the_store() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    store.set_down(true);
    assert_eq!(status(&node, "/read/ok", "a1"), 200);
    assert_eq!(node.readiness(), 200);
    store.set_down(false);
    store.publish(&with_moved_reads("0000000a"));
    node.await_condition("in force", || status(&node, "/moved/ok", "a2") == 200);
}

#[test]
fn older_version_never_comes_back() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    store.publish(&with_moved_reads("0000000a"));
    node.await_condition("in force", || status(&node, "/moved/ok", "b1") == 200);
    store.publish(SITE);
    store.publish(&SITE.replace("00000007", "0000000b").replace("/book/", "/order/"));
    node.await_condition("in force", || status(&node, "/order/ok", "b2") == 200);
    store.publish(&with_moved_reads("0000000a"));
    store.compact();
    store.publish("{\"version\":\"0000000c\",\"limits\":7}");
    node.await_condition("refused", || node.output().contains("configuration cannot be used"));
    assert_eq!(
        status(&node, "/order/ok", "b3"),
        200,
        "the newest valid version is no longer in force"
    );
}

#[test]
fn compaction_loses_no_config() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    store.compact();
    store.publish(&with_moved_reads("0000000a"));
    store.compact();
    node.await_condition("in force", || status(&node, "/moved/ok", "c1") == 200);
}

#[test]
fn lost_append_is_repeated() {
    let store = StandStore::start();
    store.publish(SITE);
    let instance = StandInstance::start("i-1");
    let mut node = HostedNode::start("vm-1", "routes", &store, &instance);
    node.await_ready();
    store.lose_answers(1);
    assert_eq!(node.send_heartbeat(&instance, "ready"), 200);
    node.await_condition("announced twice", || store.appends() == 2);
    assert!(store.newest("keyed.members", b"vm-1").is_some());
}

#[test]
fn foreign_records_are_skipped() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    store.put("keyed.members", b"vm-x", b"no member at all");
    store.put("keyed.members", b"", b"");
    store.put("keyed.op", b"other", b"\xff\xfe");
    store.publish(&with_moved_reads("0000000a"));
    node.await_condition("in force", || status(&node, "/moved/ok", "d1") == 200);

    // The member record of another node is still found.
    let instance = StandInstance::start("i-2");
    let mut other = HostedNode::start("vm-2", "swaps", &store, &instance);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&instance, "ready"), 200);
    node.await_condition("routed to vm-2", || status(&node, "/moved/swaps/ok", "d2") == 200);
}

//! Configurations that the store has acknowledged while it gives a node no response.
//!
//! Guards against a node that serves by an old configuration because the response to its long poll
//! was lost: the connection stays open and returns nothing further.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Time after the end of a fault of the store within which a node must have caught up
/// (`stable-ms` of the sites).
const CATCH_UP_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the store gives no response.
const SILENCE: Duration = Duration::from_millis(1500);
/// Time after which a node waits in its long poll.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// The site document as version `version`, with another path for the reads.
fn with_moved_reads(version: &str) -> String {
    SITE.replace("00000007", version).replace("/read/", "/moved/")
}

fn status(node: &HostedNode, path: &str, id: &str) -> u16 {
    node.caller().call("GET", HOST, path, id).map_or(0, |reply| reply.status)
}

/// Waits until `node` serves the moved reads, and returns how long that took.
fn catch_up_time(node: &HostedNode, id: &str) -> Duration {
    let start = Instant::now();
    node.await_condition("in force", || status(node, "/moved/ok", id) == 200);
    start.elapsed()
}

/// The response to the long poll is lost.
#[test]
fn lost_response_is_noticed() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    sleep(SETTLE_TIME);
    store.set_silent(true);
    store.publish(&with_moved_reads("0000000a"));
    sleep(SILENCE);
    store.set_silent(false);
    let elapsed = catch_up_time(&node, "a1");
    assert!(elapsed <= CATCH_UP_LIMIT, "in force {elapsed:?} after the store responds again");
}

/// The store gives one node no response, while others read the new configuration.
#[test]
fn other_node_passes_config_on() {
    let (cut_off_store, _instance, cut_off) = HostedNode::start_single(SITE);
    let store = StandStore::start();
    store.publish(SITE);
    let instance = StandInstance::start("i-2");
    let mut other = HostedNode::start("vm-2", "swaps", &store, &instance);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&instance, "ready"), 200);
    other.await_condition("announced", || store.newest("keyed.members", b"vm-2").is_some());
    let record = store.newest("keyed.members", b"vm-2").expect("a member record");
    cut_off_store.put("keyed.members", b"vm-2", &record);
    cut_off.await_condition("vm-2 is known", || {
        let status = cut_off.status().unwrap_or_default();
        status["instances"].as_array().is_some_and(|instances| instances.len() == 2)
    });
    cut_off_store.set_silent(true);
    store.publish(&with_moved_reads("0000000a"));
    let elapsed = catch_up_time(&cut_off, "b1");
    assert!(elapsed <= CATCH_UP_LIMIT, "in force {elapsed:?} after the store acknowledged it");
    cut_off.await_condition("source", || cut_off.output().contains("read from another node"));
}

//! The command-line tool with hosted nodes.
//!
//! Guards against a tool that does not find nodes through the platform's store, fails on records of
//! other writers, or does not find a request by the identity that the platform uses.

use poplartrail_stand::hosted::{HostedNode, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

/// Waits until the store lists the node, and returns the store's address.
fn await_announced(store: &StandStore, node: &HostedNode) -> String {
    let vm = node.vm().as_bytes();
    node.await_condition("announced", || store.newest("keyed.members", vm).is_some());
    store.addr().to_string()
}

#[test]
fn status_finds_nodes_through_the_store() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    let at = await_announced(&store, &node);
    store.put("keyed.members", b"other", b"what another writer left");
    let (code, text) = node.run_tool(&["status", "--json", "--store", &at]);
    assert_eq!(code, 0, "{text}");
    let status: serde_json::Value = serde_json::from_str(text.trim()).expect("one line of JSON");
    assert_eq!(
        (&status["vm"], &status["config"], &status["limit"]),
        (&"vm-1".into(), &7.into(), &4.into())
    );

    store.set_down(true);
    let (code, text) = node.run_tool(&["status", "--store", &at]);
    assert_eq!(code, 4, "the exit code does not tell that the store is out of reach: {text}");
}

#[test]
fn refused_request_is_found_by_its_identity() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    let at = await_announced(&store, &node);
    // The identity of a nested call is that of its parent, followed by a suffix.
    let id = "9c41d07be2a35f68.3f";
    let reply = node.caller().call("GET", HOST, "/other/ok", id).expect("an answer");
    assert_eq!(reply.status, 404);
    let (code, text) = node.run_tool(&["timeline", "--json", "--store", &at, "--request", id]);
    assert_eq!(code, 0, "{text}");
    let event: serde_json::Value = serde_json::from_str(text.trim()).expect("one line of JSON");
    assert_eq!(event["kind"], "refused");
}

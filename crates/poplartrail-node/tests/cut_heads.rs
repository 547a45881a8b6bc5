//! Instances that close the connection within the head of their answer.
//!
//! Guards against an answer whose head or body is incomplete and that the caller gets as a whole
//! one, with an empty or a short body.

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Bytes of a whole answer of the stand-in instance to a request with an identity of five bytes.
const ANSWER_BYTES: usize = 110;

/// Closes the connection after each number of bytes of the answer.
#[test]
fn cut_answer_is_no_success() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    let whole = caller.call("POST", HOST, "/book/ok", "whole").expect("an answer");
    assert_eq!(whole.status, 200);
    for len in 0..ANSWER_BYTES {
        let id = format!("a{len:04}");
        let path = format!("/book/first-{len}");
        let reply = caller.call("POST", HOST, &path, &id).expect("an answer");
        let is_whole = reply.body == format!("answer to {id}");
        assert!(reply.status == 502 || is_whole, "{} after {len} bytes", reply.status);
        assert_eq!(instance.runs(&id), 1, "the action of unknown outcome runs once");
    }
    let reply = caller.call("POST", HOST, "/book/first-60", "a-end").expect("an answer");
    assert_eq!(reply.status, 502, "60 bytes are within the head");
}

/// The same through another node, with a request that may be repeated.
#[test]
fn cut_answer_of_other_node_is_no_success() {
    let store = StandStore::start();
    store.publish(SITE);
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let front = HostedNode::start("vm-1", "routes", &store, &instances[0]);
    let mut back = HostedNode::start("vm-2", "swaps", &store, &instances[1]);
    front.await_ready();
    back.await_ready();
    assert_eq!(back.send_heartbeat(&instances[1], "ready"), 200);
    let mut caller = front.caller();
    let mut call = |path: &str, id: &str| caller.call("GET", HOST, path, id).expect("an answer");
    let mut id = 0;
    front.await_condition("routed to vm-2", || {
        id += 1;
        call("/read/swaps/ok", &format!("b{id}")).status == 200
    });
    for len in (0..ANSWER_BYTES).step_by(9) {
        let id = format!("c{len:04}");
        let reply = call(&format!("/read/swaps/first-{len}"), &id);
        let is_whole = reply.body == format!("answer to {id}");
        assert!(reply.status == 502 || is_whole, "{} after {len} bytes", reply.status);
    }
}

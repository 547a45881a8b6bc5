//! Clients that leave while their upload is on its way to another node.
//!
//! Guards against the connection between two nodes closing with all calls on it because one client
//! has left, and against a part of a call that the other node takes for the whole.

use std::{
    thread::{scope, sleep},
    time::Duration,
};

use poplartrail_stand::hosted::{HostedCaller, HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Size of an upload that takes some time on its way between two nodes.
const UPLOAD_BYTES: usize = 24 << 20;
/// Times after the last byte at which clients leave.
const LEAVE_AFTER: [Duration; 4] = [
    Duration::from_millis(5),
    Duration::from_millis(20),
    Duration::from_millis(45),
    Duration::from_millis(80),
];

fn upload(node: &HostedNode, id: &str) -> HostedCaller {
    let mut caller = node.caller();
    let head = format!(
        "POST /quick/swaps/ok HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 5000\r\ncontent-length: {UPLOAD_BYTES}\r\n\r\n"
    );
    caller.write(head.as_bytes());
    caller.write(&vec![b'u'; UPLOAD_BYTES]);
    caller
}

#[test]
fn other_calls_keep_their_answers() {
    let store = StandStore::start();
    let site = SITE.replace("\"max-body-bytes\": 65536", "\"max-body-bytes\": 67108864");
    store.publish(&site.replace("\"timeout-ms\": 1000", "\"timeout-ms\": 4000"));
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let front = HostedNode::start("vm-1", "routes", &store, &instances[0]);
    let mut back = HostedNode::start("vm-2", "swaps", &store, &instances[1]);
    front.await_ready();
    back.await_ready();
    assert_eq!(back.send_heartbeat(&instances[1], "ready"), 200);
    let call = |path: &str, id: &str| front.caller().call("POST", HOST, path, id);
    let mut id = 0;
    front.await_condition("routed to vm-2", || {
        id += 1;
        call("/quick/swaps/ok", &format!("f{id}")).is_some_and(|reply| reply.status == 200)
    });
    for (turn, leave_after) in LEAVE_AFTER.into_iter().enumerate() {
        scope(|scope| {
            let id = format!("a{turn}");
            let waiting = scope.spawn(move || call("/quick/swaps/slow-1200", &id));
            sleep(Duration::from_millis(50));
            let caller = upload(&front, &format!("b{turn}"));
            sleep(leave_after);
            drop(caller);
            let reply = waiting.join().expect("no panic").expect("an answer");
            assert_eq!(reply.status, 200, "a client left {leave_after:?} after its upload");
        });
    }
    assert!(!back.output().contains("message not understood"), "{}", back.output());
}

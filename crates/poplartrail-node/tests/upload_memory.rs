//! Many large uploads at the same time, and callers that stop sending in the middle of one.
//!
//! Guards against a node whose memory is used up by the bodies that it holds, which ends it and all
//! of them, and against a body that reaches an instance although its caller cut it off.

use poplartrail_stand::hosted::{HostedCaller, HostedNode};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Bytes that each caller sends of its body. Three of them fit into the memory for requests.
const SENT_BYTES: usize = 15 << 20;
/// Length that each caller states.
const STATED_BYTES: usize = 20 << 20;
/// Memory of the smallest VM of the present sites. A process that takes more is killed.
const MAX_RESIDENT_KIB: u64 = 160_000;

fn site() -> String {
    SITE.replace("\"max-body-bytes\": 65536", "\"max-body-bytes\": 67108864")
}

/// Begins an upload of `stated` bytes, and sends `sent` of them.
fn begin_upload(node: &HostedNode, id: &str, stated: usize, sent: usize) -> HostedCaller {
    let mut caller = node.caller();
    let head = format!(
        "POST /book/ok HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 5000\r\ncontent-length: {stated}\r\n\r\n"
    );
    caller.write(head.as_bytes());
    caller.write(&vec![b'u'; sent]);
    caller
}

#[test]
fn upload_without_room_is_refused_as_not_run() {
    let (_store, instance, node) = HostedNode::start_single(&site());
    let mut stalled: Vec<_> = (0..3)
        .map(|number| begin_upload(&node, &format!("a{number}"), STATED_BYTES, SENT_BYTES))
        .collect();
    let reply = begin_upload(&node, "b1", STATED_BYTES, SENT_BYTES).read().expect("an answer");
    assert_eq!(reply.status, 503, "{}", reply.body);
    assert!(reply.headers.contains_key("retry-after"));
    assert_eq!(instance.total_runs(), 0, "a body that was cut off reached the instance");

    // The callers that stopped sending are given up, and their memory serves others.
    for caller in &mut stalled {
        assert_eq!(caller.read().expect("an answer").status, 408);
    }
    let reply = begin_upload(&node, "b2", SENT_BYTES, SENT_BYTES).read().expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.body);
    let resident = node.process().peak_resident_kib().expect("the node runs");
    assert!(resident < MAX_RESIDENT_KIB, "{resident} KiB");
}

#[test]
fn memory_of_callers_that_left_is_returned() {
    let (_store, instance, node) = HostedNode::start_single(&site());
    for turn in 0..4 {
        for number in 0..3 {
            let id = format!("c{turn}{number}");
            drop(begin_upload(&node, &id, STATED_BYTES, SENT_BYTES));
        }
        let mut id = 0;
        node.await_condition("room for an upload", || {
            id += 1;
            let id = format!("d{turn}{id}");
            let reply = begin_upload(&node, &id, SENT_BYTES, SENT_BYTES).read();
            reply.is_some_and(|reply| reply.status == 200)
        });
    }
    assert_eq!(instance.total_runs(), 4, "a body that was cut off reached the instance");
}

//! Callers that have left before the node reads their requests.
//!
//! Guards against a booking that runs although nobody waits for it, and is made once more by its
//! caller.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::HostedNode;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Time for the kernel to take what the callers send.
const SEND_TIME: Duration = Duration::from_millis(200);

#[test_case("POST", "/book/ok"; "booking")]
#[test_case("GET", "/read/ok"; "read")]
fn unread_request_of_a_caller_that_left_is_not_run(method: &str, path: &str) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    node.process().signal("STOP");
    for number in 0..10 {
        let mut caller = node.caller();
        caller.send(method, HOST, path, &format!("left-{number}"));
    }
    let mut waiting = node.caller();
    waiting.send(method, HOST, path, "waiting");
    sleep(SEND_TIME);
    node.process().signal("CONT");
    assert_eq!(waiting.read().map(|reply| reply.status), Some(200));
    sleep(SEND_TIME);
    let runs: usize = (0..10).map(|number| instance.runs(&format!("left-{number}"))).sum();
    assert_eq!((runs, instance.runs("waiting")), (0, 1));
}

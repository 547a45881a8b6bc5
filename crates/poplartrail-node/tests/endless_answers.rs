//! Answers of an instance that never end: in the head, the body, the trailer, or in informational
//! responses before the answer.
//!
//! Guards against a node that reads on until its memory is used up, which ends it and all requests
//! that it holds, and against a status that tells the caller that such a request has not run.

use std::thread;

use poplartrail_stand::hosted::HostedNode;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Calls that get an answer without end at the same time.
const CALLS: usize = 8;
/// Memory of the smallest VM of the present sites. A process that takes more is killed.
const MAX_RESIDENT_KIB: u64 = 160_000;
/// Longest head, trailer or run of informational responses that the instance gets rid of before the
/// node closes the connection: the node's limit on a head, and what waits in the sockets.
const MAX_ANSWER_BYTES: usize = 8 << 20;

#[test_case("endless-head")]
#[test_case("endless-body")]
#[test_case("endless-trailer")]
#[test_case("endless-interim")]
fn endless_answer_is_given_up(fault: &str) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    thread::scope(|scope| {
        for number in 0..CALLS {
            let mut caller = node.caller();
            let (path, id) = (format!("/book/{fault}"), format!("a{number}"));
            scope.spawn(move || {
                let reply = caller.call("POST", HOST, &path, &id).expect("an answer");
                assert!([502, 503, 504].contains(&reply.status), "{}", reply.status);
                (reply.status, id)
            });
        }
    });
    for number in 0..CALLS {
        assert!(instance.runs(&format!("a{number}")) <= 1, "an action ran twice");
    }
    let resident = node.process().peak_resident_kib().expect("the node runs");
    assert!(resident < MAX_RESIDENT_KIB, "{resident} KiB");
    if fault != "endless-body" {
        let longest = instance.longest_answer();
        assert!(longest < MAX_ANSWER_BYTES, "{longest} bytes");
    }
    let reply = node.caller().call("GET", HOST, "/read/ok", "b1").expect("an answer");
    assert_eq!(reply.status, 200, "{}", reply.body);
}

/// An action whose answer never ends has run, so its caller is not told otherwise.
#[test_case("endless-head")]
#[test_case("endless-body")]
#[test_case("endless-trailer")]
#[test_case("endless-interim")]
fn endless_answer_is_unknown(fault: &str) {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("POST", HOST, &format!("/book/{fault}"), "c1");
    let status = reply.expect("an answer").status;
    assert!([502, 504].contains(&status), "{status}");
    assert_eq!(instance.runs("c1"), 1);
}

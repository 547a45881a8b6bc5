//! The time limit for a request's head.
//!
//! Guards against a client that is told that its request came too slowly, although only the
//! connection had been idle for long.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::HostedNode;
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Time without a request: longer than `header-timeout-ms` of the site, shorter than
/// `idle-timeout-ms`.
const IDLE_TIME: Duration = Duration::from_millis(3_500);
/// Time between two parts of a head.
const PART_PAUSE: Duration = Duration::from_millis(300);

#[test_case(true; "after a request")]
#[test_case(false; "as the first request")]
fn head_in_parts_is_read_after_an_idle_time(has_served: bool) {
    let (_store, _instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    if has_served {
        assert_eq!(caller.call("GET", HOST, "/read/ok", "a1").map(|r| r.status), Some(200));
    }
    sleep(IDLE_TIME);
    caller.write(b"GET /read/ok HTTP/1.1\r\nhost: routes.example\r\n");
    sleep(PART_PAUSE);
    caller.write(b"x-request-id: a2\r\n\r\n");
    assert_eq!(caller.read().map(|reply| reply.status), Some(200));
}

/// Bytes that come one by one do not prolong the time limit.
#[test]
fn slow_head_is_refused() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    for byte in b"GET /read/ok HTTP/1.1\r\nhost" {
        caller.write(&[*byte]);
        sleep(Duration::from_millis(150));
    }
    assert_eq!(caller.read().map(|reply| reply.status), Some(408));
    assert_eq!(instance.total_runs(), 0);
}

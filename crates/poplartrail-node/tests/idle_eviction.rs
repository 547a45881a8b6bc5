//! A node with as many open connections of callers as it may have.
//!
//! Guards against idle connections that shut out new callers, and against a caller that gets no
//! answer at all because every connection is in use.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedCaller, HostedNode};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
const MAX_CONNECTIONS: usize = 8;
const LIMITS: &str = "max_connections = 8\n";
/// Time within which a new caller is served: a part of the 15 s after which idle connections end.
const MAX_WAIT: Duration = Duration::from_secs(5);

fn read(caller: &mut HostedCaller, path: &str, id: &str) -> Option<u16> {
    caller.call("GET", HOST, path, id).map(|reply| reply.status)
}

/// Reads over a new connection, which must not have to wait until another one ends by itself.
fn read_at_once(node: &HostedNode, id: &str) -> (HostedCaller, Option<u16>) {
    let start = Instant::now();
    let mut caller = node.caller();
    let status = read(&mut caller, "/read/ok", id);
    assert!(start.elapsed() < MAX_WAIT, "{id} had to wait for {:?}", start.elapsed());
    (caller, status)
}

/// Opens all connections that the node may have; each has served a request and is idle.
fn fill(node: &HostedNode) -> Vec<HostedCaller> {
    let callers = (0..MAX_CONNECTIONS).map(|number| {
        let mut caller = node.caller();
        assert_eq!(read(&mut caller, "/read/ok", &format!("fill-{number}")), Some(200));
        caller
    });
    callers.collect()
}

#[test]
fn longest_idle_connection_is_closed() {
    let (_store, _instance, node) = HostedNode::start_single_with(SITE, LIMITS);
    let mut idle = fill(&node);
    // The first one is used again, so that the second has been idle longest.
    assert_eq!(read(&mut idle[0], "/read/ok", "again"), Some(200));
    let (_next, status) = read_at_once(&node, "next");
    assert_eq!(status, Some(200));
    assert_eq!(read(&mut idle[1], "/read/ok", "closed"), None, "idle longest");
    assert_eq!(read(&mut idle[0], "/read/ok", "kept"), Some(200));
}

#[test]
fn many_new_connections_are_served() {
    let (_store, _instance, node) = HostedNode::start_single_with(SITE, LIMITS);
    let _idle = fill(&node);
    let mut callers: Vec<HostedCaller> = Vec::new();
    for number in 0..3 * MAX_CONNECTIONS {
        let (caller, status) = read_at_once(&node, &format!("n-{number}"));
        assert_eq!(status, Some(200));
        callers.push(caller);
    }
}

/// No connection with a request on it is closed, and the new caller learns that nothing has run.
#[test]
fn busy_connections_stay() {
    let (_store, instance, node) = HostedNode::start_single_with(SITE, LIMITS);
    let mut busy: Vec<HostedCaller> = (0..MAX_CONNECTIONS)
        .map(|number| {
            let mut caller = node.caller();
            caller.send("GET", HOST, "/read/slow-800", &format!("busy-{number}"));
            caller
        })
        .collect();
    sleep(Duration::from_millis(200));
    let mut next = node.caller();
    let reply = next.call("POST", HOST, "/book/ok", "next").expect("an answer");
    assert_eq!((reply.status, instance.runs("next")), (503, 0));
    assert!(reply.headers.contains_key("retry-after"));
    for caller in &mut busy {
        assert_eq!(caller.read().map(|reply| reply.status), Some(200));
    }
    assert_eq!(read(&mut node.caller(), "/read/ok", "after"), Some(200));
}

/// The part of a request that has arrived may be the start of a booking.
#[test]
fn connection_with_a_part_of_a_request_stays() {
    let (_store, _instance, node) = HostedNode::start_single_with(SITE, LIMITS);
    let mut idle = fill(&node);
    let head = format!("GET /read/ok HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: part\r\n");
    idle[0].write(head.as_bytes());
    sleep(Duration::from_millis(100));
    assert_eq!(read_at_once(&node, "next").1, Some(200));
    idle[0].write(b"\r\n");
    assert_eq!(idle[0].read().map(|reply| reply.status), Some(200));
}

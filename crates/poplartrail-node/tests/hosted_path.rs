//! The path of a request in hosted mode: caller, node, node of another service, instance and back.
//!
//! Guards against requests that are changed, misrouted, delayed by others on their connection, or
//! reported as not run although they may have run.

use std::time::{Duration, Instant};

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";

#[test]
fn answer_is_passed_on() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("GET", HOST, "/read/ok", "a1").expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "answer to a1"));
    assert_eq!(reply.headers["x-server-signature"], "s.a1");

    let heads = instance.request_heads("a1");
    assert_eq!(heads.len(), 1, "number of runs");
    let headers = &heads[0].headers;
    assert_eq!(headers["x-request-id"], "a1");
    assert_eq!(headers["x-target-instance"], "i-1");
    assert_eq!(headers["x-caller-service"], "routes");
    let left: u64 = headers["x-deadline-ms"].to_str().unwrap().parse().unwrap();
    assert!((1..=4_000).contains(&left), "{left} ms are not within the route's timeout");
}

#[test]
fn unknown_paths_are_refused() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    for (host, path) in [(HOST, "/other/ok"), (HOST, "/read"), ("other.example", "/read/ok")] {
        let reply = node.caller().call("GET", host, path, "b1").expect("an answer");
        assert_eq!(reply.status, 404, "{host}{path}");
    }
    assert_eq!(instance.total_runs(), 0);
}

#[test]
fn unconfigured_node_runs_nothing() {
    let store = StandStore::start();
    let instance = StandInstance::start("i-1");
    let mut node = HostedNode::start("vm-1", "routes", &store, &instance);
    node.await_condition("listening", || node.readiness() == 503);
    assert_eq!(node.send_heartbeat(&instance, "ready"), 200);
    let reply = node.caller().call("POST", HOST, "/book/ok", "c1").expect("an answer");
    assert_eq!(reply.status, 503);
    assert!(reply.headers.contains_key("retry-after"));

    store.publish(SITE);
    node.await_ready();
    let reply = node.caller().call("POST", HOST, "/book/ok", "c1").expect("an answer");
    assert_eq!(reply.status, 200);
    assert_eq!(instance.runs("c1"), 1);
}

#[test]
fn other_service_is_reached_through_its_node() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    let instance = StandInstance::start("i-2");
    let mut other = HostedNode::start("vm-2", "swaps", &store, &instance);
    other.await_ready();
    assert_eq!(other.send_heartbeat(&instance, "ready"), 200);
    let mut id = 0;
    node.await_condition("routed to vm-2", || {
        id += 1;
        let id = format!("d{id}");
        let reply = node.caller().call("GET", HOST, "/read/swaps/ok", &id);
        reply.is_some_and(|reply| reply.status == 200)
    });
    let head = &instance.request_heads(&format!("d{id}"))[0];
    assert_eq!(
        head.headers["x-caller-service"], "routes",
        "not the service on the VM where the request began"
    );
    assert_eq!(head.headers["x-target-instance"], "i-2");
}

#[test]
fn pipelined_requests_run_concurrently() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    let began = Instant::now();
    caller.send("GET", HOST, "/read/slow-900", "e1");
    caller.send("GET", HOST, "/read/ok", "e2");
    node.await_condition("running both", || instance.runs("e2") == 1);
    assert!(began.elapsed() < Duration::from_millis(900), "the second waited for the first");
    let bodies: Vec<String> = (0..2).map(|_| caller.read().expect("an answer").body).collect();
    assert_eq!(
        bodies,
        ["answer to e1", "answer to e2"],
        "the answers are not in the order of the requests"
    );
}

#[test]
fn slow_request_times_out() {
    let (_store, _instance, node) = HostedNode::start_single(SITE);
    let reply = node.caller().call("GET", HOST, "/short/slow-3000", "f1").expect("an answer");
    assert_eq!(reply.status, 504, "it ran, but the status means that it has not run");
}

#[test]
fn chunked_body_arrives_whole() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let mut caller = node.caller();
    caller.write(
        b"POST /book/ok HTTP/1.1\r\nhost: routes.example\r\nx-request-id: 91\r\n\
          transfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n6\r\nsecond\r\n0\r\n\r\n",
    );
    assert_eq!(caller.read().expect("an answer").status, 200);
    assert_eq!(instance.request_heads("91")[0].headers["content-length"], "11");
}

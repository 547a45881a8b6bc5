//! The planned stop and the restart of a hosted node while its instance keeps running.
//!
//! Guards against requests that are lost or wrongly reported during a stop, and against a restarted
//! node that uses its instance before it knows whether the instance takes work.

use std::{
    thread::sleep,
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Grace period in the settings of the stand-in platform.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time after the stop signal at which callers still send requests.
const CALLERS_LEAVE: Duration = Duration::from_millis(2_100);
/// Time for which a node is suspended.
const SUSPENSION: Duration = Duration::from_millis(1_000);

fn two_nodes() -> (StandStore, [StandInstance; 2], [HostedNode; 2]) {
    let store = StandStore::start();
    store.publish(SITE);
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let mut nodes = [
        HostedNode::start("vm-1", "routes", &store, &instances[0]),
        HostedNode::start("vm-2", "routes", &store, &instances[1]),
    ];
    for (node, instance) in nodes.iter_mut().zip(&instances) {
        node.await_ready();
        assert_eq!(node.send_heartbeat(instance, "ready"), 200);
    }
    // Each node is aware of the other one once calls run at both.
    let mut id = 0;
    nodes[0].await_condition("routed to both", || {
        id += 1;
        let mut caller = nodes[0].caller();
        caller.call("GET", HOST, "/read/slow-50", &format!("f0{id}"));
        let mut both: Vec<_> = (0..8).map(|_| nodes[0].caller()).collect();
        for (at, caller) in both.iter_mut().enumerate() {
            caller.send("GET", HOST, "/read/slow-50", &format!("f1{id}{at}"));
        }
        both.iter_mut().for_each(|caller| drop(caller.read()));
        instances.iter().all(|instance| instance.total_runs() > 0)
    });
    (store, instances, nodes)
}

#[test]
fn accepted_requests_survive_stop() {
    let (_store, _instances, mut nodes) = two_nodes();
    let mut running = nodes[0].caller();
    running.send("POST", HOST, "/book/slow-1500", "a1");
    let mut kept = nodes[0].caller();
    assert_eq!(kept.call("GET", HOST, "/read/ok", "a2").expect("an answer").status, 200);
    sleep(Duration::from_millis(100));
    nodes[0].process().signal("TERM");
    nodes[0].await_condition("not ready", || nodes[0].readiness() == 503);

    // A request on an open connection is still served, through the other node.
    let reply = kept.call("GET", HOST, "/read/ok", "a3").expect("an answer");
    assert_eq!((reply.status, reply.body.as_str()), (200, "answer to a3"));
    assert_eq!(running.read().expect("an answer").body, "answer to a1");
    assert_eq!(
        nodes[0].process_mut().wait(Duration::from_secs(8)),
        Some(0),
        "the process did not exit by itself"
    );
}

/// On a VM that is busy or was suspended for a while, the pauses of the stop last longer. A process
/// that is still there at the end of the grace period is killed, and its last replies with it.
#[test]
fn delayed_stop_ends_within_grace_period() {
    let (_store, _instance, mut node) = HostedNode::start_single(SITE);
    let stopping_at = Instant::now();
    node.process().signal("TERM");
    sleep(CALLERS_LEAVE);
    // This request outlasts the grace period.
    let mut running = node.caller();
    running.send("GET", HOST, "/read/slow-3900", "h1");
    sleep(Duration::from_millis(500));
    node.process().signal("STOP");
    sleep(SUSPENSION);
    node.process().signal("CONT");
    assert!(running.read().is_some(), "no final reply");
    let left = GRACE_PERIOD.saturating_sub(stopping_at.elapsed());
    assert_eq!(
        node.process_mut().wait(left),
        Some(0),
        "still running at the end of the grace period"
    );
}

#[test]
fn late_request_is_refused_as_not_run() {
    let (_store, instances, nodes) = two_nodes();
    let mut running = nodes[0].caller();
    nodes[0].process().signal("TERM");
    sleep(Duration::from_millis(1_000));
    running.send("POST", HOST, "/book/slow-3500", "b1");
    sleep(Duration::from_millis(2_200));
    let late = nodes[0].caller().call("POST", HOST, "/book/ok", "b2");
    // The connection may be refused by then; an answer must not say that the request ran.
    if let Some(reply) = late {
        assert_eq!(reply.status, 503);
        assert!(reply.headers.contains_key("retry-after"));
    }
    assert_eq!(instances.iter().map(|i| i.runs("b2")).sum::<usize>(), 0);
    assert!(running.read().is_some(), "an accepted request got no answer");
}

#[test]
fn restarted_node_waits_for_heartbeat() {
    let (_store, instances, mut nodes) = two_nodes();
    nodes[0].restart();
    nodes[0].await_ready();
    // The node does not know yet whether its instance is draining, so it uses the other one.
    let reply = nodes[0].caller().call("GET", HOST, "/read/ok", "c1").expect("an answer");
    assert_eq!((reply.status, instances[1].runs("c1")), (200, 1));
    assert_eq!(nodes[0].send_heartbeat(&instances[0], "ready"), 200);
    nodes[1].process_mut().kill();
    let mut id = 0;
    nodes[0].await_condition("using its own instance", || {
        id += 1;
        let reply = nodes[0].caller().call("GET", HOST, "/read/ok", &format!("c2{id}"));
        reply.is_some_and(|reply| reply.status == 200) && instances[0].runs(&format!("c2{id}")) == 1
    });
}

#[test]
fn draining_node_serves_its_instance() {
    let store = StandStore::start();
    store.publish(SITE);
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let front = HostedNode::start("vm-1", "routes", &store, &instances[0]);
    let mut back = HostedNode::start("vm-2", "swaps", &store, &instances[1]);
    front.await_ready();
    back.await_ready();
    assert_eq!(back.send_heartbeat(&instances[1], "ready"), 200);
    let ask = |id: &str| {
        let reply = front.caller().call("GET", HOST, "/read/swaps/ok", id);
        reply.map_or(0, |reply| reply.status)
    };
    let mut id = 0;
    front.await_condition("routed to vm-2", || {
        id += 1;
        ask(&format!("d1{id}")) == 200
    });
    back.process().signal("TERM");
    back.await_condition("not ready", || back.readiness() == 503);
    // Only the node is about to stop; its instance keeps running.
    assert_eq!(ask("d2"), 200);
}

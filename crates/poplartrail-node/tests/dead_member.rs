//! A node that the store still lists although its VM is gone.
//!
//! Guards against calls that time out on the dead VM. It was cut off before it could announce its
//! exit, and the calling node has just started, so it knows only what the store lists.

use poplartrail_stand::hosted::{HostedNode, StandInstance};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Requests, about half of which would be routed to the dead VM.
const REQUESTS: usize = 40;

#[test]
fn calls_avoid_dead_vm() {
    let (store, _instance, mut node) = HostedNode::start_single(SITE);
    let (alive, gone) = (StandInstance::start("i-2"), StandInstance::start("i-3"));
    let mut nodes = [("vm-2", &alive), ("vm-3", &gone)].map(|(vm, instance)| {
        let mut other = HostedNode::start(vm, "swaps", &store, instance);
        other.await_ready();
        assert_eq!(other.send_heartbeat(instance, "ready"), 200);
        other.await_condition("announced", || {
            store.newest("keyed.members", vm.as_bytes()).is_some()
        });
        other
    });
    nodes[1].process_mut().kill();
    node.restart();
    node.await_ready();
    // The route's timeout is shorter than the timeout for opening a connection.
    let ask =
        |id: &str| node.caller().call("POST", HOST, "/quick/swaps/ok", id).expect("an answer");
    let mut first = None;
    node.await_condition("aware of the other nodes", || {
        first = Some(ask("g")).filter(|reply| reply.status != 503);
        first.is_some()
    });
    let others = (0..REQUESTS).map(|number| ask(&format!("g{number}")));
    for reply in first.into_iter().chain(others) {
        assert_eq!(reply.status, 200, "{}\n{}", reply.body, node.output());
    }
}

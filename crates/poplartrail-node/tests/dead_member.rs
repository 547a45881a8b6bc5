//! A node that the store still lists although its VM is gone.

use poplartrail_stand::hosted::{HostedNode, StandInstance};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Requests; about half of them would go to the VM that is gone.
const REQUESTS: usize = 40;

/// A VM was cut off and taken away before it could say that it leaves, and the node that calls it
/// has just started, so it knows only what the store says.
#[test]
fn calls_do_not_wait_for_a_vm_that_is_gone() {
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
    nodes[1].process().kill();
    node.restart();
    node.await_ready();
    // The route's time-out is shorter than the time for which opening a connection is tried.
    let ask =
        |id: &str| node.caller().call("POST", HOST, "/quick/swaps/ok", id).expect("an answer");
    let mut first = None;
    node.await_condition("told of the other nodes", || {
        first = Some(ask("g")).filter(|reply| reply.status != 503);
        first.is_some()
    });
    let others = (0..REQUESTS).map(|number| ask(&format!("g{number}")));
    for reply in first.into_iter().chain(others) {
        assert_eq!(reply.status, 200, "{}\n{}", reply.body, node.output());
    }
}

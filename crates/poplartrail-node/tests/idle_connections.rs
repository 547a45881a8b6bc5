//! Work of a node at rest, by the number of nodes that it is connected to.
//!
//! Guards against timers for each connection: with hundreds of nodes, each connected to all others,
//! they take the processor time of the calls.

use std::{thread::sleep, time::Duration};

use poplartrail_stand::hosted::{HostedNode, StandInstance};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Nodes of the other service.
const OTHERS: usize = 8;
/// Time for the store's responses and the log lines of the last calls.
const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Length of the measurement.
const REST: Duration = Duration::from_secs(2);
/// Wake-ups of one timer with the shortest interval that a silent connection needs, 25 ms. A node at
/// rest has no such connection, so all its threads together stay below.
const MAX_WAKEUPS: u64 = REST.as_millis() as u64 / 25;

#[test]
fn idle_connections_wake_nobody() {
    let (store, _instance, node) = HostedNode::start_single(SITE);
    let others: Vec<_> = (0..OTHERS)
        .map(|index| {
            let instance = StandInstance::start(&format!("i-{}", index + 2));
            let vm = format!("vm-{}", index + 2);
            let mut other = HostedNode::start(&vm, "swaps", &store, &instance);
            other.await_ready();
            assert_eq!(other.send_heartbeat(&instance, "ready"), 200);
            (other, instance)
        })
        .collect();
    let mut caller = node.caller();
    let mut id = 0;
    node.await_condition("connected to every other node", || {
        id += 1;
        drop(caller.call("GET", HOST, "/read/swaps/ok", &format!("e{id}")));
        others.iter().all(|(_, instance)| instance.total_runs() > 0)
    });

    sleep(SETTLE_TIME);
    let before = node.process().wakeups();
    sleep(REST);
    let wakeups = node.process().wakeups() - before;
    assert!(
        wakeups < MAX_WAKEUPS,
        "{wakeups} wake-ups in {REST:?} with {OTHERS} idle connections, {MAX_WAKEUPS} allowed"
    );
}

//! An instance that names the requests a second which it takes from all machines together.
//!
//! Guards against a limit that no node applies, that each node applies for itself, or that ends
//! with the process of the node beside the instance.

use std::{
    thread::{scope, sleep},
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedNode, InstanceArrival, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Requests a second that the instance names.
const LIMIT: f64 = 5.0;
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests that may arrive in one window: one and a half times the limit, and 5.
const MAX_IN_WINDOW: usize = 35;
/// Pause of each caller between two requests.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time from the first answer with the limit after which requests count.
const SETTLING_TIME: Duration = Duration::from_millis(500);

/// An instance with its node, and two nodes of another service that call it.
struct Fleet {
    store: StandStore,
    instance: StandInstance,
    home: HostedNode,
    others: Vec<HostedNode>,
}

impl Fleet {
    fn start() -> Self {
        let (store, instance, home) = HostedNode::start_single(SITE);
        let others = ["vm-2", "vm-3"].map(|vm| {
            let instance = StandInstance::start(&format!("i-{vm}"));
            let mut node = HostedNode::start(vm, "swaps", &store, &instance);
            node.await_ready();
            assert_eq!(node.send_heartbeat(&instance, "ready"), 200);
            node
        });
        let fleet = Self { store, instance, home, others: others.into() };
        for (turn, node) in fleet.others.iter().enumerate() {
            let serves = || read(node, &format!("start-{turn}")) == 200;
            node.await_condition("the instance is reached", serves);
        }
        fleet
    }

    /// Calls the instance through the other nodes for `duration`, and meanwhile runs `act`.
    fn call_meanwhile(
        &mut self,
        name: &str,
        duration: Duration,
        act: impl FnOnce(&mut HostedNode),
    ) {
        let (others, home) = (&self.others, &mut self.home);
        scope(|scope| {
            for (caller, node) in others.iter().enumerate() {
                scope.spawn(move || call_for(node, &format!("{name}-{caller}"), duration));
            }
            act(home);
        });
    }
}

fn read(node: &HostedNode, id: &str) -> u16 {
    node.caller().call("GET", HOST, "/read/ok", id).map_or(0, |reply| reply.status)
}

fn call_for(node: &HostedNode, name: &str, duration: Duration) {
    let start = Instant::now();
    let mut turn = 0;
    while start.elapsed() < duration {
        read(node, &format!("{name}-{turn}"));
        turn += 1;
        sleep(CALL_INTERVAL);
    }
}

/// Returns the largest number of `arrivals` after `start` in one window.
fn most_in_window(arrivals: &[InstanceArrival], start: Instant) -> usize {
    let times: Vec<Instant> = arrivals.iter().map(|a| a.at).filter(|at| *at >= start).collect();
    let count =
        |from: &Instant| times.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    times.iter().map(count).max().unwrap_or(0)
}

#[test]
fn limit_holds_for_all_nodes_together() {
    let mut fleet = Fleet::start();
    fleet.instance.set_notice(&format!("server-limit: {LIMIT}\r\n"));
    let start = Instant::now() + SETTLING_TIME;
    fleet.call_meanwhile("a", SETTLING_TIME + WINDOW, |home| {
        call_for(home, "a-home", SETTLING_TIME + WINDOW);
    });
    let arrivals = fleet.instance.arrivals();
    let most = most_in_window(&arrivals, start);
    assert!(most <= MAX_IN_WINDOW, "{most} requests in a window, {MAX_IN_WINDOW} allowed");
    let least = (LIMIT * WINDOW.as_secs_f64() * 0.5) as usize;
    assert!(most >= least, "{most} requests in a window: the instance takes more");
}

/// The next process of the node beside the instance has not seen an answer of it yet.
#[test]
fn limit_outlives_a_restart() {
    let mut fleet = Fleet::start();
    fleet.instance.set_notice("server-limit: 0.5\r\n");
    fleet.call_meanwhile("b", Duration::from_secs(1), |_| {});
    let told_at = Instant::now();
    let instance = fleet.instance.clone();
    fleet.call_meanwhile("c", WINDOW, |home| {
        for _ in 0..3 {
            home.restart();
            home.await_ready();
            home.await_acknowledged(|home| home.send_heartbeat(&instance, "ready"));
        }
    });
    let most = most_in_window(&fleet.instance.arrivals(), told_at);
    assert!(most <= 8, "{most} requests in a window, 8 allowed");
    drop(fleet.store);
}

#[test]
fn withdrawn_limit_no_longer_holds() {
    let mut fleet = Fleet::start();
    fleet.instance.set_notice("server-limit: 1\r\n");
    fleet.call_meanwhile("d", Duration::from_secs(1), |_| {});
    fleet.instance.set_notice("");
    let node = &fleet.others[0];
    let mut turn = 0;
    node.await_condition("served in a row", || {
        turn += 1;
        (0..20).all(|call| read(node, &format!("e-{turn}-{call}")) == 200)
    });
}

/// No answer arrives that could withdraw the limit unless some requests still go there.
#[test]
fn limit_of_zero_is_tried_again() {
    let fleet = Fleet::start();
    fleet.instance.set_notice("server-limit: 0\r\n");
    let node = &fleet.others[0];
    for turn in 0..3 {
        read(node, &format!("f-{turn}"));
    }
    fleet.instance.set_notice("");
    let mut turn = 0;
    node.await_condition("served again", || {
        turn += 1;
        read(node, &format!("g-{turn}")) == 200 && read(node, &format!("h-{turn}")) == 200
    });
}

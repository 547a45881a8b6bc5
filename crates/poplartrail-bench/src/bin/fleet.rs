//! What control costs a node as the fleet grows, and what a call costs each of its threads.

use std::{collections::BTreeMap, time::Duration};

use bpaf::Bpaf;
use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};
use tokio::time::sleep;

/// Base file of the fleet; its lease is long enough for a steady state.
const BASE: &str = include_str!("../../../poplartrail-node/tests/bases/chain.toml");
/// Lease of the fleet, in seconds.
const LEASE_S: u64 = 30;
/// Time between two reads of the log by a node.
const POLL: Duration = Duration::from_secs(5);
/// Time in which a new fleet settles.
const SETTLE: Duration = Duration::from_secs(8);
/// Bytes of an answer's header, worked out.
const ANSWER_HEADER_BYTES: u64 = 100;

/// Measures the control of fleets at rest, or what calls cost
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Measure {
    /// Fleets of one service at rest: bytes, processor time and memory of a node
    #[bpaf(command)]
    Rest {
        /// Nodes of the fleets
        #[bpaf(positional("NODES"), some("state the numbers of nodes"))]
        nodes: Vec<usize>,
        /// Seconds that are counted
        #[bpaf(fallback(60))]
        seconds: u64,
    },
    /// A chain of two under calls: processor time of each thread for one call
    #[bpaf(command)]
    Calls {
        /// Calls
        #[bpaf(fallback(5_000))]
        calls: u32,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    match measure().run() {
        Measure::Rest { nodes, seconds } => {
            for nodes in nodes {
                rest(nodes, seconds).await;
            }
        }
        Measure::Calls { calls } => cost_of(calls).await,
    }
}

async fn rest(nodes: usize, seconds: u64) {
    let base = BASE.replace("lease_s = 4", &format!("lease_s = {LEASE_S}"));
    let mut plan = FleetPlan::new(&base).poll_interval(POLL);
    for node in 0..nodes {
        plan = plan.node(NodePlan::new(&format!("back-a{node}"), "back", "zone-a"));
    }
    let fleet = Fleet::start_without_routes(plan).await;
    sleep(SETTLE).await;
    let (before, times) = (fleet.log_counts().await, thread_times(&fleet));
    sleep(Duration::from_secs(seconds)).await;
    let (after, ended) = (fleet.log_counts().await, thread_times(&fleet));
    let count = |name: &str| after[name].as_u64().unwrap_or(0) - before[name].as_u64().unwrap_or(0);
    let exchanges = count("reads") + count("appends");
    let bytes = count("bytes_in") + count("bytes_out") + exchanges * ANSWER_HEADER_BYTES;
    let of_node = |total: f64| total / (nodes as f64 * seconds as f64);
    let resident = fleet.nodes.iter().filter_map(|node| node.daemon.resident_kib()).max();
    println!(
        "{nodes} nodes at rest, lease {LEASE_S} s, a read each {} s: a node has {:.0} bytes/s, \
         {:.3} appends/s, {:.3} reads/s, {:.3}% of a core, {} KiB at most",
        POLL.as_secs(),
        of_node(bytes as f64),
        of_node(count("appends") as f64),
        of_node(count("reads") as f64),
        100.0 * of_node(sum(&ended) - sum(&times)),
        resident.unwrap_or(0),
    );
    print_threads(&times, &ended, |seconds| format!("{:.4}% of a core", 100.0 * of_node(seconds)));
}

async fn cost_of(calls: u32) {
    let quick = Behaviour { work_us: 0, ..Behaviour::default() };
    let plan = FleetPlan::new(BASE)
        .node(
            NodePlan::new("front-a1", "front", "zone-a")
                .next_service("middle")
                .behaviour(quick.clone()),
        )
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(quick));
    let fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0);
    let send = |count: u32| {
        let caller = caller.clone();
        async move {
            for _ in 0..count {
                let reply = caller.send(&Call::get("/cost")).await.expect("the node answers");
                assert_eq!(reply.status, 200, "{}", reply.text());
            }
        }
    };
    send(calls / 10).await;
    let times = thread_times(&fleet);
    send(calls).await;
    let ended = thread_times(&fleet);
    println!("{calls} calls through two nodes, one after the other; both nodes together:");
    print_threads(&times, &ended, |seconds| {
        format!("{:.1} us a call", seconds * 1e6 / f64::from(calls))
    });
}

fn thread_times(fleet: &Fleet) -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for node in &fleet.nodes {
        for (name, time) in node.daemon.thread_cpu_times() {
            *times.entry(name).or_default() += time.as_secs_f64();
        }
    }
    times
}

fn sum(times: &BTreeMap<String, f64>) -> f64 {
    times.values().sum()
}

fn print_threads(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    show: impl Fn(f64) -> String,
) {
    for (name, ended) in after {
        let began = before.get(name).copied().unwrap_or(0.0);
        println!("  {name}: {}", show(ended - began));
    }
}

//! Measures the cost of control for a node by the size of the fleet, and the processor time of each
//! thread for a call.

mod hosted;

use std::{collections::BTreeMap, time::Duration};

use bpaf::Bpaf;
use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};
use tokio::time::sleep;

/// Base file of the fleet.
const BASE_FILE: &str = include_str!("../../../../poplartrail-node/tests/bases/chain.toml");
/// Lease duration of the idle fleet, in seconds: long enough to measure a steady state.
const LEASE_S: u64 = 30;
/// Time between two reads of the log by one node.
const LOG_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Time between the start of a fleet and its measurement.
const WARM_UP: Duration = Duration::from_secs(8);
/// Header size of a log response, which the counters of the log server leave out.
const RESPONSE_HEADER_BYTES: u64 = 100;

/// Measures the cost of control in idle fleets or the cost of calls
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Measure {
    /// Measures network traffic, processor time and memory of a node in idle fleets of one service
    #[bpaf(command)]
    Rest {
        /// Number of nodes in each fleet to measure
        #[bpaf(positional("NODES"), some("state the numbers of nodes"))]
        nodes: Vec<usize>,
        /// Length of the measurement in seconds, 60 by default
        #[bpaf(fallback(60))]
        seconds: u64,
    },
    /// Measures the processor time and the wake-ups of hosted nodes, at rest and under calls
    #[bpaf(command)]
    Hosted {
        /// Requests per second that the callers of each node send, 20 by default
        #[bpaf(fallback(20))]
        rate: u32,
        /// Time that an instance takes for a request in milliseconds, 30 by default
        #[bpaf(fallback(30))]
        work_ms: u64,
        /// Length of each measurement in seconds, 10 by default
        #[bpaf(fallback(10))]
        seconds: u64,
        /// Number of nodes in each fleet to measure
        #[bpaf(positional("NODES"), some("state the numbers of nodes"))]
        nodes: Vec<usize>,
    },
    /// Measures the processor time of each thread for a call through a chain of two nodes
    #[bpaf(command)]
    Calls {
        /// Number of calls to measure, 5000 by default
        #[bpaf(fallback(5_000))]
        calls: u32,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    match measure().run() {
        Measure::Rest { nodes, seconds } => {
            for nodes in nodes {
                measure_idle(nodes, seconds).await;
            }
        }
        Measure::Hosted { rate, work_ms, seconds, nodes } => {
            let load = hosted::Load { rate, work_ms, duration: Duration::from_secs(seconds) };
            for nodes in nodes {
                hosted::measure(nodes, load);
            }
        }
        Measure::Calls { calls } => measure_calls(calls).await,
    }
}

async fn measure_idle(nodes: usize, seconds: u64) {
    let base = BASE_FILE.replace("lease_s = 4", &format!("lease_s = {LEASE_S}"));
    let mut plan = FleetPlan::new(&base).poll_interval(LOG_POLL_INTERVAL);
    for node in 0..nodes {
        plan = plan.node(NodePlan::new(&format!("back-a{node}"), "back", "zone-a"));
    }
    let fleet = Fleet::start_without_routes(plan).await;
    sleep(WARM_UP).await;
    let (before, cpu_before) = (fleet.log_counts().await, thread_times(&fleet));
    sleep(Duration::from_secs(seconds)).await;
    let (after, cpu_after) = (fleet.log_counts().await, thread_times(&fleet));
    let count = |name: &str| after[name].as_u64().unwrap_or(0) - before[name].as_u64().unwrap_or(0);
    let requests = count("reads") + count("appends");
    let bytes = count("bytes_in") + count("bytes_out") + requests * RESPONSE_HEADER_BYTES;
    let per_node_second = |total: f64| total / (nodes as f64 * seconds as f64);
    let resident = fleet.nodes.iter().filter_map(|node| node.daemon.resident_kib()).max();
    println!(
        "{nodes} nodes at rest, lease {LEASE_S} s, a read each {} s: a node has {:.0} bytes/s, \
         {:.3} appends/s, {:.3} reads/s, {:.3}% of a core, {} KiB at most",
        LOG_POLL_INTERVAL.as_secs(),
        per_node_second(bytes as f64),
        per_node_second(count("appends") as f64),
        per_node_second(count("reads") as f64),
        100.0 * per_node_second(total(&cpu_after) - total(&cpu_before)),
        resident.unwrap_or(0),
    );
    print_threads(&cpu_before, &cpu_after, |seconds| {
        format!("{:.4}% of a core", 100.0 * per_node_second(seconds))
    });
}

async fn measure_calls(calls: u32) {
    let quick = Behaviour { work_us: 0, ..Behaviour::default() };
    let plan = FleetPlan::new(BASE_FILE)
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
                let reply = caller.send(&Call::get("/cost")).await.expect("the call is answered");
                assert_eq!(reply.status, 200, "{}", reply.text());
            }
        }
    };
    send(calls / 10).await;
    let cpu_before = thread_times(&fleet);
    send(calls).await;
    let cpu_after = thread_times(&fleet);
    println!("{calls} calls through two nodes, one after the other; both nodes together:");
    print_threads(&cpu_before, &cpu_after, |seconds| {
        format!("{:.1} us a call", seconds * 1e6 / f64::from(calls))
    });
}

/// Returns the processor time that all nodes have used, in seconds by thread name.
fn thread_times(fleet: &Fleet) -> BTreeMap<String, f64> {
    let mut times = BTreeMap::new();
    for node in &fleet.nodes {
        for (name, time) in node.daemon.thread_cpu_times() {
            *times.entry(name).or_default() += time.as_secs_f64();
        }
    }
    times
}

pub(crate) fn total(times: &BTreeMap<String, f64>) -> f64 {
    times.values().sum()
}

/// Prints the processor time that each thread used between two calls of [`thread_times`].
pub(crate) fn print_threads(
    before: &BTreeMap<String, f64>,
    after: &BTreeMap<String, f64>,
    format_time: impl Fn(f64) -> String,
) {
    for (name, ended) in after {
        let began = before.get(name).copied().unwrap_or(0.0);
        println!("  {name}: {}", format_time(ended - began));
    }
}

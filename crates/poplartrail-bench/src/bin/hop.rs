//! Measures the latency that a node adds to a call, compared with direct calls in the same run.

use std::time::Duration;

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use poplartrail_stand::{
    caller::{Call, Caller},
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};

/// Measures the latency that nodes add to a call
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of calls to measure on each path, 5000 by default
    #[bpaf(fallback(5_000))]
    calls: usize,
}

/// Base file of the fleet.
const BASE_FILE: &str = include_str!("../../../poplartrail-node/tests/bases/chain.toml");

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let options = options().run();
    let quick = Behaviour { work_us: 0, ..Behaviour::default() };
    let plan = FleetPlan::new(BASE_FILE)
        .node(NodePlan::new("back-a1", "back", "zone-a").behaviour(quick.clone()))
        .node(
            NodePlan::new("front-a1", "front", "zone-a")
                .next_service("middle")
                .behaviour(quick.clone()),
        )
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(quick));
    let fleet = Fleet::start(plan).await;
    let direct = measure(&Caller::new(fleet.nodes[0].upstream_addr), options.calls).await;
    let node = measure(&fleet.caller(0), options.calls).await;
    let chain = measure(&fleet.caller(1), options.calls).await;
    for (label, latencies) in [("direct", &direct), ("one node", &node), ("chain of two", &chain)] {
        println!(
            "{label}: p50 {} us, p90 {} us, p99 {} us of {} calls",
            latencies.value_at_quantile(0.5),
            latencies.value_at_quantile(0.9),
            latencies.value_at_quantile(0.99),
            latencies.len(),
        );
    }
    let latency_us =
        |latencies: &Histogram<u64>, quantile| latencies.value_at_quantile(quantile) as i64;
    for quantile in [0.5, 0.99] {
        let entry = latency_us(&node, quantile) - latency_us(&direct, quantile);
        // Compared with one node, the chain adds a call to the second upstream and a hop between
        // two nodes.
        let hop = latency_us(&chain, quantile)
            - latency_us(&node, quantile)
            - latency_us(&direct, quantile);
        println!(
            "added at p{}: entry node {entry} us, hop between nodes {hop} us",
            quantile * 100.0
        );
    }
    for node in &fleet.nodes {
        println!("{} resident {} KiB", node.vm, node.daemon.resident_kib().unwrap_or(0));
    }
}

/// Returns the latencies of `calls` calls in microseconds; a tenth as many are sent before them to
/// warm up.
async fn measure(caller: &Caller, calls: usize) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("three significant digits are supported");
    for turn in 0..calls + calls / 10 {
        let reply = caller.send(&Call::get("/hop")).await.expect("the call is answered");
        assert_eq!(reply.status, 200, "{}", reply.text());
        if turn >= calls / 10 {
            latencies
                .record(reply.time.as_micros() as u64)
                .expect("the latency is in the range of the histogram");
        }
        tokio::time::sleep(Duration::from_micros(200)).await;
    }
    latencies
}

//! Floods a chain of real processes with requests of several ranks, and prints how many of each
//! rank succeeded and why the others failed.

use std::{collections::BTreeMap, time::Duration};

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};
use tokio::time::{Instant, sleep};

/// Base file of the fleet.
const BASE_FILE: &str = include_str!("../../../../examples/mekong/base.toml");
/// Duration of the flood.
const FLOOD_DURATION: Duration = Duration::from_secs(10);
/// Requests per second that are sent with each rank.
const RANK_RATES_PER_S: [(&str, u64); 4] =
    [("stock-check", 20), ("refill-order", 20), ("route-sheet", 60), ("lookup", 400)];

/// Requests of one rank by outcome.
#[derive(Debug, Default)]
struct RankCounts {
    sent: u64,
    succeeded: u64,
    /// Number of unsuccessful requests by the first line of the answer.
    reasons: BTreeMap<String, u64>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let upstream = |slots| Behaviour { slots, work_us: 20_000, ..Behaviour::default() };
    let plan = FleetPlan::new(&format!(
        "zones = [\"zone-a\"]\n{}",
        BASE_FILE.replace("[[service]]\n", "[[service]]\nkey_slots = 2\n")
    ))
    .node(
        NodePlan::new("routes-a1", "routes", "zone-a")
            .next_service("swaps")
            .behaviour(upstream(40)),
    )
    .node(
        NodePlan::new("swaps-a1", "swaps", "zone-a")
            .next_service("billing")
            .behaviour(upstream(40)),
    )
    .node(
        NodePlan::new("billing-a1", "billing", "zone-a")
            .next_service("stock")
            .behaviour(upstream(40)),
    )
    .node(NodePlan::new("stock-a1", "stock", "zone-a").behaviour(upstream(4)));
    println!("starting a log, four upstreams and four nodes on loopback");
    let fleet = Fleet::start(plan).await;
    println!(
        "flooding the chain with lookups for {} s; stock takes 200 calls a second",
        FLOOD_DURATION.as_secs()
    );
    let counts = flood(&fleet).await;
    for (rank, _) in RANK_RATES_PER_S {
        let count = &counts[rank];
        println!(
            "{rank}: {} of {} whole; otherwise {:?}",
            count.succeeded, count.sent, count.reasons
        );
    }
    for (index, node) in fleet.nodes.iter().enumerate() {
        let status = fleet.status(index).await.unwrap_or_default();
        println!("{}: limit {}, ranks {}", node.vm, status["limit"], status["ranks"]);
    }
    let log = fleet.log_addr.to_string();
    let args = ["timeline", "--log", &log, "--kind", "share"].map(str::to_owned);
    let (_, output) = fleet.run_tool(&args);
    println!("why, from the time line:");
    output.lines().take(12).for_each(|line| println!("  {line}"));
}

async fn flood(fleet: &Fleet) -> BTreeMap<&'static str, RankCounts> {
    let mut tasks = Vec::new();
    for (rank, rate) in RANK_RATES_PER_S {
        let caller = fleet.caller(0);
        tasks.push(tokio::spawn(async move {
            let mut calls = Vec::new();
            let end = Instant::now() + FLOOD_DURATION;
            while Instant::now() < end {
                let caller = caller.clone();
                calls.push(tokio::spawn(async move {
                    caller.send(&Call::get("/sheet").rank(rank)).await
                }));
                sleep(Duration::from_micros(1_000_000 / rate)).await;
            }
            let mut count = RankCounts::default();
            for call in calls {
                count.sent += 1;
                match call.await {
                    Ok(Ok(reply)) if reply.status == 200 => count.succeeded += 1,
                    Ok(Ok(reply)) => {
                        let reason = reply.text().lines().next().unwrap_or("").to_owned();
                        *count.reasons.entry(reason).or_default() += 1;
                    }
                    _ => *count.reasons.entry("no answer".to_owned()).or_default() += 1,
                }
            }
            (rank, count)
        }));
    }
    let mut counts = BTreeMap::new();
    for task in tasks {
        let (rank, count) = task.await.expect("the sending task does not panic");
        counts.insert(rank, count);
    }
    counts
}

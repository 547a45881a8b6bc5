//! A flood of calls and a slow service, with real processes.
//!
//! Guards against a node that sheds urgent calls before routine ones, reports calls as not run that
//! have run, or does not recover after the overload. The lab has the same cases in virtual time.

use std::{collections::BTreeMap, time::Duration};

use poplartrail_stand::{
    caller::{Call, Caller},
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Callers that take part in the flood, each with one request at a time.
const FLOOD_CALLERS: usize = 100;
/// Pause of such a caller between two requests.
const PAUSE: Duration = Duration::from_millis(40);
/// Duration of a flood.
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// Time within which goodput must recover after the service is fast again.
const RECOVERY_TIME: Duration = Duration::from_secs(5);
/// Minimum fraction of requests that must be answered with success after the recovery.
const MIN_RECOVERED: f64 = 0.95;

/// A front service with many slots that calls a service with a capacity of 400 calls a second.
fn plan() -> FleetPlan {
    FleetPlan::new(include_str!("bases/chain.toml"))
        .node(
            NodePlan::new("front-a1", "front", "zone-a")
                .next_service("middle")
                .behaviour(busy(40, 1)),
        )
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(busy(4, 10)))
}

fn busy(slots: usize, work_ms: u64) -> Behaviour {
    Behaviour { slots, work_us: work_ms * 1_000, ..Behaviour::default() }
}

/// Number of replies by outcome and status.
type Counts = BTreeMap<(String, u16), u64>;

async fn repeat(caller: Caller, rank: &'static str, pause: Duration, until: Instant) -> Counts {
    let mut counts = Counts::new();
    while Instant::now() < until {
        let reply = caller.send(&Call::get("/sheet").rank(rank)).await.expect("the node answers");
        *counts.entry((reply.outcome().to_owned(), reply.status)).or_default() += 1;
        sleep(pause).await;
    }
    counts
}

/// Floods the fleet with routine requests while one caller sends urgent requests.
async fn flood(fleet: &Fleet) -> (Counts, Counts) {
    let until = Instant::now() + FLOOD_TIME;
    let mut flooders = JoinSet::new();
    for _ in 0..FLOOD_CALLERS {
        flooders.spawn(repeat(fleet.caller(0), "routine", PAUSE, until));
    }
    let urgent = repeat(fleet.caller(0), "urgent", PAUSE / 2, until).await;
    let mut routine = Counts::new();
    while let Some(counts) = flooders.join_next().await {
        for (kind, count) in counts.expect("a caller ends") {
            *routine.entry(kind).or_default() += count;
        }
    }
    (urgent, routine)
}

#[tokio::test]
async fn urgent_calls_survive_flood() {
    let fleet = Fleet::start(plan()).await;
    let (urgent, routine) = flood(&fleet).await;
    println!("urgent {urgent:?}, routine {routine:?}");
    assert!(urgent.keys().all(|(outcome, status)| outcome == "answered" && *status == 200));
    let of = |wanted: &str| -> u64 {
        routine.iter().filter(|((outcome, _), _)| outcome == wanted).map(|(_, count)| count).sum()
    };
    assert!(of("answered") > 0, "no routine call was answered");
    let ran = fleet.upstream_counts(0).await.ranks["routine"];
    let total: u64 = routine.values().sum();
    assert!(ran <= total - of("not-run"), "{ran} ran of {total}; {routine:?}");
}

#[tokio::test]
async fn goodput_recovers_after_slowdown() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_behaviour(1, &busy(4, 100)).await;
    let (urgent, routine) = flood(&fleet).await;
    println!("while slow: urgent {urgent:?}, routine {routine:?}");
    fleet.set_behaviour(1, &busy(4, 10)).await;
    sleep(RECOVERY_TIME).await;
    let after = repeat(fleet.caller(0), "routine", PAUSE, Instant::now() + FLOOD_TIME).await;
    let succeeded = after.get(&("answered".to_owned(), 200)).copied().unwrap_or(0) as f64;
    let total = after.values().sum::<u64>() as f64;
    assert!(succeeded >= MIN_RECOVERED * total, "{after:?}");
}

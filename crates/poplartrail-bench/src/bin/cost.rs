//! Cost of one decision as the number of known instances grows.

use std::{net::SocketAddr, sync::Arc, time::Instant};

use poplartrail_bench::scenarios::ranks;
use poplartrail_core::{
    call::{Draw, RequestId},
    member::Member,
    names::{ServiceName, VmName, ZoneName},
    policy::RankIndex,
    route::{Choice, Instance, Router},
    time::Time,
};

/// Decisions of one measurement.
const DECISIONS: u64 = 200_000;
/// Instances of one service at the size to design for.
const INSTANCES_OF_SERVICE: usize = 34;

fn main() {
    let ranks = Arc::new(ranks());
    for known in [10, 100, 1_000, 7_900] {
        let before = resident_kib();
        let router = router(known, ranks.len());
        let bytes = (resident_kib().saturating_sub(before)) * 1024 / known as u64;
        let service = service(0);
        let start = Instant::now();
        let mut sent = 0u64;
        for turn in 0..DECISIONS {
            let draw: Draw = RequestId(u128::from(turn)).draw();
            let random = turn.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let choice =
                router.choose(Time::from_nanos(turn), &service, RankIndex(2), draw, None, random);
            sent += u64::from(matches!(choice, Choice::Send(_)));
        }
        let nanos = start.elapsed().as_nanos() as u64 / DECISIONS;
        println!(
            "{known} instances known: {nanos} ns for a choice, {bytes} bytes each, {sent} sent"
        );
    }
}

fn service(number: usize) -> ServiceName {
    ServiceName::new(format!("service-{number}")).expect("the name is valid")
}

fn router(known: usize, ranks: usize) -> Router {
    let zone = |at: usize| ZoneName::new(format!("zone-{}", at % 6)).expect("the name is valid");
    let mut router = Router::new(zone(0));
    for at in 0..known {
        let addr = SocketAddr::from(([127, 0, 0, 1], 1));
        let member = Member {
            vm: VmName::new(format!("vm-{at}")).expect("the name is valid"),
            incarnation: 1,
            service: service(at / INSTANCES_OF_SERVICE),
            zone: zone(at),
            addr,
            report: addr,
        };
        let instance =
            Instance::new(Time::ZERO, member.vm.clone(), member.zone.clone(), addr, 1, ranks);
        router.upsert(&member.service, instance);
    }
    router
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

//! Measures the cost of one decision by the number of ranks and of known instances.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use poplartrail_bench::scenarios::ranks;
use poplartrail_core::{
    call::{RequestId, Share, ShedPosition},
    engine::CallKey,
    gate::{
        AdmissionRequest, Completion, FixedLimit, Gate, GateDecision, GateOptions, GradientLimit,
        Limiter, UpstreamOutcome,
    },
    member::Member,
    names::{RankName, ServiceName, VmName, ZoneName},
    policy::{Rank, RankIndex, Ranks},
    route::{Instance, InstanceChoice, Router},
    time::Time,
};
use slotmap::SlotMap;

/// Number of decisions in one measurement.
const DECISIONS: u64 = 200_000;
/// Virtual time between two calls at a gate, in nanoseconds.
const CALL_INTERVAL_NS: u64 = 1_000_000;
/// Calls in one interval of the gate.
const CALLS_PER_INTERVAL: u64 = 100;
/// Instances of one service at the design size.
const INSTANCES_PER_SERVICE: usize = 34;

fn main() {
    compare_gates();
    let ranks = Arc::new(ranks());
    for known in [10, 100, 1_000, 7_900] {
        let before = resident_kib();
        let router = router(known, ranks.len());
        let bytes = (resident_kib().saturating_sub(before)) * 1024 / known as u64;
        let service = service(0);
        let start = Instant::now();
        let mut sent = 0u64;
        for i in 0..DECISIONS {
            let position: ShedPosition = RequestId(u128::from(i)).shed_position();
            let random = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let choice =
                router.choose(Time::from_nanos(i), &service, RankIndex(2), position, None, random);
            sent += u64::from(matches!(choice, InstanceChoice::Send(_)));
        }
        let nanos = start.elapsed().as_nanos() as u64 / DECISIONS;
        println!(
            "{known} instances known: {nanos} ns for a choice, {bytes} bytes each, {sent} sent"
        );
    }
}

/// Returns the time that a gate spends on one call, in nanoseconds: admission, completion and its
/// part of the work at the end of an interval.
fn gate_call_ns(limiter: Limiter, has_shares: bool, ranks: &Ranks) -> f64 {
    let options = GateOptions {
        limiter: Some(limiter),
        divides_capacity: has_shares,
        enforces_deadlines: has_shares,
        max_queue_len: 256,
    };
    let mut gate = Gate::new(options, ranks);
    let mut keys = SlotMap::<CallKey, ()>::with_key();
    let mut decisions = Vec::new();
    let call = keys.insert(());
    let start = Instant::now();
    for i in 0..DECISIONS {
        let now = Time::from_nanos(i * CALL_INTERVAL_NS);
        let request = AdmissionRequest {
            call,
            rank: RankIndex((i % ranks.len() as u64) as u8),
            shed_position: RequestId(u128::from(i)).shed_position(),
            deadline: now + Duration::from_secs(1),
            is_nested: false,
            admitted_share: Share::FULL,
            max_wait: None,
        };
        gate.submit(now, request, &mut decisions);
        for decision in decisions.drain(..) {
            let GateDecision::Dispatch(_, granted) = decision else { continue };
            let hold = Duration::from_millis(5);
            let done = Completion {
                rank: RankIndex(0),
                hold_time: hold,
                self_time: hold,
                permit: granted,
                outcome: UpstreamOutcome::Answered,
            };
            gate.complete(now, done, &mut Vec::new());
        }
        if i % CALLS_PER_INTERVAL == 0 {
            gate.end_interval(now, &mut Vec::new());
        }
    }
    start.elapsed().as_nanos() as f64 / DECISIONS as f64
}

/// Prints the cost of a call at the gate, compared with that of a gate with a constant limit, for
/// several numbers of ranks.
fn compare_gates() {
    for count in [2, 5, 16] {
        let ranks = synthetic_ranks(count);
        let fixed = gate_call_ns(Limiter::Fixed(FixedLimit::new(100)), false, &ranks);
        let chosen = gate_call_ns(Limiter::Gradient(GradientLimit::default()), true, &ranks);
        println!(
            "{count} ranks: constant limit {fixed:.0} ns for a call at the gate, chosen law with \
             shares and deadlines {chosen:.0} ns, ratio {:.1}",
            chosen / fixed
        );
    }
}

fn synthetic_ranks(count: usize) -> Ranks {
    let rank = |at: usize| Rank {
        name: RankName::new(format!("rank-{at}")).expect("the name is valid"),
        target: Duration::from_secs(1),
        worth: (count - at) as f64,
        is_urgent: at == 0,
    };
    Ranks::new((0..count).map(rank).collect()).expect("the ranks are valid")
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
            service: service(at / INSTANCES_PER_SERVICE),
            zone: zone(at),
            addr,
            report_addr: addr,
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

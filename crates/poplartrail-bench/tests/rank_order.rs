//! Urgent work first, and what the other ranks keep.

use poplartrail_bench::{
    scenarios::{Baseline, flood, ie_midlands, rank, vn_south},
    simulation::Graph,
};
use test_case::test_case;

/// Part of the urgent requests that are served within their target in a routine flood.
const URGENT_KEPT: f64 = 0.999;

#[test_case(&vn_south(); "vn south")]
#[test_case(&ie_midlands(); "ie midlands")]
fn urgent_in_routine_flood(graph: &Graph) {
    let stats = flood(graph, rank::LOOKUP, 10.0).run();
    for urgent in [rank::STOCK_CHECK, rank::REFILL] {
        let kept = stats.success_share(urgent);
        assert!(kept >= URGENT_KEPT, "rank {urgent} kept {kept:.4}");
    }
}

#[test_case(&vn_south(), rank::STOCK_CHECK; "vn south stock checks")]
#[test_case(&vn_south(), rank::REFILL; "vn south refills")]
#[test_case(&vn_south(), rank::SWAP; "vn south swaps")]
#[test_case(&vn_south(), rank::LOOKUP; "vn south lookups")]
#[test_case(&ie_midlands(), rank::STOCK_CHECK; "ie midlands stock checks")]
#[test_case(&ie_midlands(), rank::REFILL; "ie midlands refills")]
#[test_case(&ie_midlands(), rank::ROUTE; "ie midlands routes")]
#[test_case(&ie_midlands(), rank::LOOKUP; "ie midlands lookups")]
fn urgent_is_shed_last(graph: &Graph, flooding: usize) {
    let stats = flood(graph, flooding, 10.0).run();
    assert_eq!(stats.order_violations, 0, "of {} urgent calls shed", stats.urgent_shed);
}

#[test]
fn flood_takes_nothing_urgent_without_shares() {
    // The queue alone keeps the order, but the ranks beside the flood lose their part.
    let graph = vn_south();
    let with = flood(&graph, rank::ROUTE, 10.0).run();
    let without = Baseline::NoShares.apply(flood(&graph, rank::ROUTE, 10.0)).run();
    let kept = |stats: &poplartrail_bench::simulation::RunStats| stats.success_share(rank::SWAP);
    assert!(kept(&without) < kept(&with) / 2.0, "{} {}", kept(&without), kept(&with));
}

//! Urgent requests are served first and shed last, and a flood of one rank leaves the other ranks
//! their shares.

use poplartrail_bench::{
    scenarios::{Baseline, flood, ie_midlands, rank, vn_south},
    simulation::Graph,
};
use test_case::test_case;

/// Lowest share of urgent requests that succeed within their target in a flood of routine requests.
const MIN_URGENT_SUCCESS: f64 = 0.999;

#[test_case(&vn_south(); "vn south")]
#[test_case(&ie_midlands(); "ie midlands")]
fn urgent_in_routine_flood(graph: &Graph) {
    let stats = flood(graph, rank::LOOKUP, 10.0).run();
    for urgent in [rank::STOCK_CHECK, rank::REFILL] {
        let success = stats.success_share(urgent);
        assert!(success >= MIN_URGENT_SUCCESS, "share {success:.4} of rank {urgent} succeeded");
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
fn urgent_is_shed_last(graph: &Graph, flooded_rank: usize) {
    let stats = flood(graph, flooded_rank, 10.0).run();
    assert_eq!(stats.order_violations, 0, "of {} urgent calls shed", stats.urgent_shed);
}

#[test]
fn flood_displaces_others_without_shares() {
    // Without shares the queue still serves urgent ranks first, but a flood displaces the requests
    // of the less urgent ranks.
    let graph = vn_south();
    let with = flood(&graph, rank::ROUTE, 10.0).run();
    let without = Baseline::NoShares.apply(flood(&graph, rank::ROUTE, 10.0)).run();
    let success_share =
        |stats: &poplartrail_bench::simulation::RunStats| stats.success_share(rank::SWAP);
    assert!(
        success_share(&without) < success_share(&with) / 2.0,
        "{} {}",
        success_share(&without),
        success_share(&with)
    );
}

//! Load endpoints that lag, stick or lie.

use poplartrail_bench::scenarios::{SlotReport, overload_with_reports, vn_south};
use test_case::test_case;

/// Least goodput, as a part of that under true statements.
const LEAST: f64 = 0.95;
/// Seconds that a run counts.
const SECONDS: u64 = 12;

#[test_case(SlotReport::Lagging; "lagging")]
#[test_case(SlotReport::Stuck; "stuck")]
#[test_case(SlotReport::TenTimes; "ten times")]
#[test_case(SlotReport::Tenth; "a tenth")]
fn does_little_harm(report: SlotReport) {
    let graph = vn_south();
    let truth = overload_with_reports(&graph, SlotReport::True, SECONDS).run().succeeded() as f64;
    let goodput = overload_with_reports(&graph, report, SECONDS).run().succeeded() as f64;
    assert!(goodput >= truth * LEAST, "{goodput} of {truth}");
}

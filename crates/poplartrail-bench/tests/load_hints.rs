//! Goodput falls by at most 5% if load endpoints report old, constant or wrong slot counts.

use poplartrail_bench::scenarios::{SlotReport, overload_with_reports, vn_south};
use test_case::test_case;

/// Lowest goodput, as a share of that with correct reports.
const MIN_GOODPUT_SHARE: f64 = 0.95;
/// Length of the measurement window of a run, in seconds.
const MEASURED_SECONDS: u64 = 12;

#[test_case(SlotReport::Lagging; "lagging")]
#[test_case(SlotReport::Stuck; "stuck")]
#[test_case(SlotReport::TenTimes; "ten times")]
#[test_case(SlotReport::Tenth; "a tenth")]
fn keeps_goodput(report: SlotReport) {
    let graph = vn_south();
    let expected =
        overload_with_reports(&graph, SlotReport::True, MEASURED_SECONDS).run().succeeded() as f64;
    let goodput = overload_with_reports(&graph, report, MEASURED_SECONDS).run().succeeded() as f64;
    assert!(goodput >= expected * MIN_GOODPUT_SHARE, "{goodput} of {expected}");
}

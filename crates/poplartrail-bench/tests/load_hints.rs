//! Load endpoints that lag, stick or lie.

use poplartrail_bench::scenarios::{Hint, vn_south, with_hint};
use test_case::test_case;

/// Least goodput, as a part of that under true statements.
const LEAST: f64 = 0.95;
/// Seconds that a run counts.
const SECONDS: u64 = 12;

#[test_case(Hint::Lagging; "lagging")]
#[test_case(Hint::Stuck; "stuck")]
#[test_case(Hint::TenTimes; "ten times")]
#[test_case(Hint::Tenth; "a tenth")]
fn does_little_harm(hint: Hint) {
    let graph = vn_south();
    let truth = with_hint(&graph, Hint::True, SECONDS).run().succeeded() as f64;
    let goodput = with_hint(&graph, hint, SECONDS).run().succeeded() as f64;
    assert!(goodput >= truth * LEAST, "{goodput} of {truth}");
}

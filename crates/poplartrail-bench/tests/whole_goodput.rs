//! Goodput under overload, and the share of slot time that is wasted on requests that do not
//! succeed.

use poplartrail_bench::{
    scenarios::{Baseline, bottleneck_chain, deep_chain, ie_midlands, overload, vn_south},
    simulation::Graph,
};
use test_case::test_case;

/// Length of the measurement window of a run, in seconds.
const MEASURED_SECONDS: u64 = 12;
/// Lowest goodput under twice the capacity, as a share of the capacity.
const MIN_GOODPUT_AT_TWICE: f64 = 0.95;
/// Lowest goodput under five and ten times the capacity, as a share of the capacity.
const MIN_GOODPUT_AT_MANY_TIMES: f64 = 0.90;
/// Highest share of slot time wasted on requests that do not succeed, under twice the capacity.
const MAX_WASTED: f64 = 0.05;

fn goodput(graph: &Graph, load_factor: f64, baseline: Baseline) -> (f64, f64) {
    let stats = baseline.apply(overload(graph, load_factor, MEASURED_SECONDS)).run();
    (stats.succeeded() as f64 / MEASURED_SECONDS as f64 / graph.capacity(), stats.wasted_share())
}

#[test_case(&vn_south(); "vn south")]
#[test_case(&ie_midlands(); "ie midlands")]
#[test_case(&deep_chain(); "chain of 22")]
fn twice_capacity(graph: &Graph) {
    let (goodput, wasted) = goodput(graph, 2.0, Baseline::Full);
    assert!(goodput >= MIN_GOODPUT_AT_TWICE, "goodput {goodput:.3}");
    assert!(wasted <= MAX_WASTED, "wasted {wasted:.3}");
}

#[test_case(&vn_south(), 5.0; "vn south 5 times")]
#[test_case(&vn_south(), 10.0; "vn south 10 times")]
#[test_case(&ie_midlands(), 5.0; "ie midlands 5 times")]
#[test_case(&ie_midlands(), 10.0; "ie midlands 10 times")]
#[test_case(&deep_chain(), 5.0; "chain of 22 5 times")]
#[test_case(&deep_chain(), 10.0; "chain of 22 10 times")]
fn many_times_capacity(graph: &Graph, load_factor: f64) {
    let (goodput, _) = goodput(graph, load_factor, Baseline::Full);
    assert!(goodput >= MIN_GOODPUT_AT_MANY_TIMES, "goodput {goodput:.3}");
}

#[test_case(Baseline::NoLimit; "no limit")]
#[test_case(Baseline::StaticLimit(100); "static limit")]
fn misses_without(baseline: Baseline) {
    let (without, wasted) = goodput(&vn_south(), 2.0, baseline);
    assert!(
        without < MIN_GOODPUT_AT_TWICE || wasted > MAX_WASTED,
        "goodput {without:.3} wasted {wasted:.3}"
    );
}

#[test_case(Baseline::NoPathShares; "path shares")]
#[test_case(Baseline::IndependentShedding; "common order")]
fn wastes_without(baseline: Baseline) {
    let wasted = |baseline| goodput(&bottleneck_chain(), 10.0, baseline).1;
    let (with, without) = (wasted(Baseline::Full), wasted(baseline));
    assert!(with < without, "wasted {with:.3} and {without:.3}");
}

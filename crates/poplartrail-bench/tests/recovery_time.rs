//! Time from the end of a disturbance until goodput has recovered.

use poplartrail_bench::scenarios::{Baseline, Disturbance, measure_recovery, vn_south};
use test_case::test_case;

/// Longest time to recover, in seconds.
const MAX_RECOVERY_S: usize = 5;

#[test_case(Disturbance::Slow; "slow service")]
#[test_case(Disturbance::Surge; "surge")]
#[test_case(Disturbance::HardRetries; "hard retries")]
#[test_case(Disturbance::Together; "together")]
#[test_case(Disturbance::Twice; "twice")]
fn recovers(disturbance: Disturbance) {
    let run = measure_recovery(&vn_south(), disturbance, Baseline::Full, 1);
    let seconds = run.recovery_s.expect("the system is not metastable");
    assert!(seconds <= MAX_RECOVERY_S, "{seconds} s");
}

#[test]
fn stays_down_without_limit() {
    let run = measure_recovery(&vn_south(), Disturbance::HardRetries, Baseline::NoLimit, 1);
    assert!(run.recovery_s.is_none_or(|seconds| seconds > MAX_RECOVERY_S), "{:?}", run.recovery_s);
}

#[test]
fn serves_less_without_deadlines() {
    let during =
        |baseline| measure_recovery(&vn_south(), Disturbance::Together, baseline, 1).goodput_during;
    let (with, without) = (during(Baseline::Full), during(Baseline::NoDeadlines));
    assert!(with > without, "{with:.0} and {without:.0} successful requests per second");
}

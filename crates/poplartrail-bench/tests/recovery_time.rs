//! Time from the end of a trouble until goodput is back.

use poplartrail_bench::scenarios::{Baseline, Trouble, recover, vn_south};
use test_case::test_case;

/// Longest recovery, in seconds.
const LONGEST: usize = 5;

#[test_case(Trouble::Slow; "slow service")]
#[test_case(Trouble::Surge; "surge")]
#[test_case(Trouble::HardRetries; "hard retries")]
#[test_case(Trouble::Together; "together")]
#[test_case(Trouble::Twice; "twice")]
fn recovers(trouble: Trouble) {
    let run = recover(&vn_south(), trouble, Baseline::Full, 1);
    let seconds = run.seconds.expect("the system is not metastable");
    assert!(seconds <= LONGEST, "{seconds} s");
}

#[test]
fn stays_down_without_limit() {
    let run = recover(&vn_south(), Trouble::HardRetries, Baseline::NoLimit, 1);
    assert!(run.seconds.is_none_or(|seconds| seconds > LONGEST), "{:?}", run.seconds);
}

#[test]
fn serves_less_without_deadlines() {
    let during = |baseline| recover(&vn_south(), Trouble::Together, baseline, 1).during;
    let (with, without) = (during(Baseline::Full), during(Baseline::NoDeadlines));
    assert!(with > without, "{with:.0} and {without:.0} whole requests a second");
}

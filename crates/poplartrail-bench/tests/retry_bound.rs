//! All nodes on the path of a request share one bound on its retries.

use poplartrail_bench::scenarios::{Baseline, RetryRun, retry_run, vn_south};
use test_case::test_case;

/// Fewest requests that the runs of all seeds send together.
const MIN_REQUESTS: u64 = 100_000;
/// Length of the measurement window of a run, in seconds.
const MEASURED_SECONDS: u64 = 25;

#[test_case(0; "no retry")]
#[test_case(1; "one retry")]
#[test_case(3; "three retries")]
fn stays_in_bound(max_retries: u8) {
    let mut requests = 0;
    let mut retries = 0;
    let mut seed = 1;
    while requests < MIN_REQUESTS {
        let run = RetryRun { max_retries, seconds: MEASURED_SECONDS, seed };
        let stats = retry_run(&vn_south(), run, Baseline::Full);
        assert!(
            stats.max_retries_per_request <= u32::from(max_retries),
            "{} of {max_retries}",
            stats.max_retries_per_request
        );
        requests += stats.offered();
        retries += stats.retries;
        seed += 1;
    }
    assert_eq!(retries > 0, max_retries > 0, "the faults call for retries");
}

#[test]
fn breaks_bound_without_shared_budget() {
    let run = RetryRun { max_retries: 1, seconds: MEASURED_SECONDS, seed: 1 };
    let stats = retry_run(&vn_south(), run, Baseline::IndependentRetries);
    assert!(stats.max_retries_per_request > 1, "{}", stats.max_retries_per_request);
}

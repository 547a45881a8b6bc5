//! No request is lost when an upstream is killed and restarted, or when the connections to an
//! instance go silent.

use poplartrail_bench::scenarios::{Baseline, instance_fault, vn_south};
use test_case::test_case;

/// Length of the measurement window of a run, in seconds.
const MEASURED_SECONDS: u64 = 12;

#[test_case(false; "killed and back")]
#[test_case(true; "silent")]
fn loses_no_request(is_silent: bool) {
    let stats = instance_fault(&vn_south(), is_silent, MEASURED_SECONDS).run();
    assert!(stats.retries > 0, "the fault causes no retries");
    assert_eq!(stats.succeeded(), stats.offered());
}

#[test]
fn loses_some_without_watch() {
    let builder = instance_fault(&vn_south(), true, MEASURED_SECONDS);
    let stats = Baseline::NoSilenceWatch.apply(builder).run();
    assert!(stats.succeeded() < stats.offered(), "{} of {}", stats.succeeded(), stats.offered());
}

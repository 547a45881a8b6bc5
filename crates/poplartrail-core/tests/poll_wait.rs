//! Waits of the long polls of a fleet.
//!
//! Guards against a fleet in which every node waits for a response that the store has lost, and
//! against polls whose number grows with the fleet.

use std::time::Duration;

use poplartrail_core::member::poll_wait;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

/// Mean time between two polls of the whole fleet, as for the configuration.
const FLEET_INTERVAL: Duration = Duration::from_millis(250);
/// Time after the fault within which the first node has to notice, so that the others learn of it
/// within the three seconds of `stable-ms`.
const NOTICE_LIMIT: Duration = Duration::from_millis(1500);
const RUNS: u64 = 2_000;

fn waits(nodes: usize, seed: u64) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(seed);
    (0..nodes).map(|_| poll_wait(nodes, FLEET_INTERVAL, rng.random())).collect()
}

/// All polls begin at the same time, as after a change, and lose their responses at once.
#[test_case(1; "one node")]
#[test_case(12; "small site")]
#[test_case(95; "large site")]
#[test_case(7_900; "full size")]
fn some_poll_ends_soon(nodes: usize) {
    let runs = if nodes > 1_000 { RUNS / 20 } else { RUNS };
    let late = (0..runs).filter(|&seed| waits(nodes, seed).iter().min() > Some(&NOTICE_LIMIT));
    let late = late.count() as u64;
    assert!(late * 100 <= runs, "late in {late} of {runs} runs");
}

/// With the rate of the fleet's polls, or one in 14 s for each node of a larger fleet.
#[test_case(12; "small site")]
#[test_case(95; "large site")]
#[test_case(7_900; "full size")]
fn fleet_rate_is_bounded(nodes: usize) {
    let waits = waits(nodes, 1);
    let mean = waits.iter().sum::<Duration>() / nodes as u32;
    let rate = nodes as f64 / mean.as_secs_f64();
    let bound = (2.0 / FLEET_INTERVAL.as_secs_f64()).max(nodes as f64 / 14.0);
    assert!(rate <= bound, "{rate:.1} polls a second, {bound:.1} allowed");
}

#[test]
fn store_takes_every_wait() {
    for nodes in [0, 1, 12, 7_900, usize::MAX] {
        for random in [0.0, 0.5, 0.999_999_999, 1.0 - f64::EPSILON] {
            assert!(poll_wait(nodes, FLEET_INTERVAL, random) <= Duration::from_secs(30));
        }
    }
}

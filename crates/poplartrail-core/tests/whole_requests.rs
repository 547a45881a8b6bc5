//! A deep service with too few places, and failures that have nothing to do with load.

use std::time::Duration;

use poplartrail_core::{call::RequestId, gate::GoodputController, time::Time};

const NODES: usize = 6;
/// Requests a second at each node.
const RATE: u32 = 40;
/// Calls that each request makes to the deep service, one after the other.
const CALLS: i32 = 4;
const SECONDS: u32 = 40;

/// Replays requests at several nodes of which a fraction succeeds that follows from the number
/// admitted in the second before. Returns the successes of the last half, as a fraction of all
/// requests.
fn replay(mut nodes: Vec<Option<GoodputController>>, success: impl Fn(f64) -> f64) -> f64 {
    let mut chance = success(1.0);
    let (mut succeeded, mut total) = (0.0, 0.0);
    let mut number = 0u128;
    for second in 0..SECONDS {
        let mut admitted = 0;
        for turn in 0..RATE {
            let now = Time::ZERO
                + Duration::from_secs(u64::from(second))
                + Duration::from_secs(1) * turn / RATE;
            for node in &mut nodes {
                number += 1;
                let draw = RequestId(number).shed_position();
                if node.as_ref().is_some_and(|goodput| !goodput.admits(draw)) {
                    continue;
                }
                admitted += 1;
                // Another hash than that of the order of shedding.
                let luck = RequestId(number ^ (0x5bd1 << 64)).shed_position().0 as f64
                    / f64::from(u16::MAX);
                let has_succeeded = luck < chance;
                if let Some(goodput) = node {
                    goodput.observe(now, has_succeeded);
                }
                if second >= SECONDS / 2 && has_succeeded {
                    succeeded += 1.0;
                }
            }
        }
        if second >= SECONDS / 2 {
            total += f64::from(RATE) * nodes.len() as f64;
        }
        chance = success(f64::from(admitted) / (f64::from(RATE) * nodes.len() as f64));
    }
    succeeded / total
}

/// A deep service that takes `capacity` of all requests: the more are begun, the fewer of their
/// calls find a place.
fn deep(capacity: f64) -> impl Fn(f64) -> f64 {
    move |admitted| (capacity / admitted).min(1.0).powi(CALLS)
}

fn with() -> Vec<Option<GoodputController>> {
    (0..NODES).map(|_| Some(GoodputController::default())).collect()
}

fn without() -> Vec<Option<GoodputController>> {
    vec![None; NODES]
}

#[test]
fn short_service_still_finishes_what_is_begun() {
    let (baseline, held) = (replay(without(), deep(0.6)), replay(with(), deep(0.6)));
    assert!(baseline < 0.2, "{baseline} without the mechanism");
    assert!(held > 0.4, "{held} of the 0.6 that the service could take");
}

#[test]
fn enough_places_admit_everything() {
    assert!(replay(with(), deep(1.2)) > 0.99);
}

#[test]
fn failures_without_load_are_not_made_worse() {
    let grey = |_admitted: f64| 0.5;
    let (baseline, held) = (replay(without(), grey), replay(with(), grey));
    assert!(held > 0.75 * baseline, "{held} with, {baseline} without");
}

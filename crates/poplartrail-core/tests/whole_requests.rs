//! The goodput controller under overload of a deep service, and under failures unrelated to load.

use std::time::Duration;

use poplartrail_core::{call::RequestId, gate::GoodputController, time::Time};

const NODES: usize = 6;
/// Requests that arrive at each node.
const REQUESTS_PER_SECOND: u32 = 40;
/// Calls that each request makes to the deep service, one after the other.
const CALLS_PER_REQUEST: i32 = 4;
const SECONDS: u32 = 40;

/// Replays requests at several nodes. Their success ratio in each second is `success_ratio` of the
/// share admitted in the second before. Returns the successes of the last half as a fraction of all
/// requests.
fn replay(mut nodes: Vec<Option<GoodputController>>, success_ratio: impl Fn(f64) -> f64) -> f64 {
    let mut success_chance = success_ratio(1.0);
    let (mut succeeded, mut total) = (0.0, 0.0);
    let mut request_number = 0u128;
    for second in 0..SECONDS {
        let mut admitted = 0;
        for index in 0..REQUESTS_PER_SECOND {
            let now = Time::ZERO
                + Duration::from_secs(u64::from(second))
                + Duration::from_secs(1) * index / REQUESTS_PER_SECOND;
            for node in &mut nodes {
                request_number += 1;
                let position = RequestId(request_number).shed_position();
                if node.as_ref().is_some_and(|goodput| !goodput.admits(position)) {
                    continue;
                }
                admitted += 1;
                // Uses another hash than the shedding order, so that the two are independent.
                let random = RequestId(request_number ^ (0x5bd1 << 64)).shed_position().0 as f64
                    / f64::from(u16::MAX);
                let has_succeeded = random < success_chance;
                if let Some(goodput) = node {
                    goodput.observe(now, has_succeeded);
                }
                if second >= SECONDS / 2 && has_succeeded {
                    succeeded += 1.0;
                }
            }
        }
        if second >= SECONDS / 2 {
            total += f64::from(REQUESTS_PER_SECOND) * nodes.len() as f64;
        }
        success_chance = success_ratio(
            f64::from(admitted) / (f64::from(REQUESTS_PER_SECOND) * nodes.len() as f64),
        );
    }
    succeeded / total
}

/// Returns the success ratio of requests to a deep service that can serve the fraction `capacity`
/// of all requests: the more are admitted, the fewer of their calls are served.
fn deep_service(capacity: f64) -> impl Fn(f64) -> f64 {
    move |admitted| (capacity / admitted).min(1.0).powi(CALLS_PER_REQUEST)
}

fn controllers() -> Vec<Option<GoodputController>> {
    (0..NODES).map(|_| Some(GoodputController::default())).collect()
}

fn no_controllers() -> Vec<Option<GoodputController>> {
    vec![None; NODES]
}

#[test]
fn overloaded_service_still_completes_requests() {
    let (baseline, controlled) =
        (replay(no_controllers(), deep_service(0.6)), replay(controllers(), deep_service(0.6)));
    assert!(baseline < 0.2, "{baseline} without the controllers");
    assert!(controlled > 0.4, "{controlled} of the 0.6 that the service can serve");
}

#[test]
fn sufficient_capacity_admits_everything() {
    assert!(replay(controllers(), deep_service(1.2)) > 0.99);
}

#[test]
fn failures_unrelated_to_load_are_not_amplified() {
    let partial_failure = |_admitted: f64| 0.5;
    let (baseline, controlled) =
        (replay(no_controllers(), partial_failure), replay(controllers(), partial_failure));
    assert!(controlled > 0.75 * baseline, "{controlled} with the controllers, {baseline} without");
}

//! Wait of the long polls that a node makes at the platform's store.

use std::time::Duration;

/// Wait of a node that has just started and does not know its own record yet. All nodes of a fleet
/// may start together.
const STARTING_WAIT: Duration = Duration::from_secs(4);
/// Wait of a node that knows no other node, and so can learn of a lost response only by itself.
const LONE_NODE_WAIT: Duration = Duration::from_millis(1500);
/// Longest wait in a fleet of any size; the store allows 30 s.
const MAX_WAIT_CAP: Duration = Duration::from_secs(28);
/// Shortest mean wait, which bounds the calls of a small fleet.
const MIN_MEAN_WAIT: Duration = Duration::from_secs(1);

/// Returns how long the store may hold the next long poll of one node in a fleet of `nodes`, so that
/// the fleet renews a poll every `fleet_interval` on average. `random` is uniform in [0, 1).
///
/// A poll whose response is lost looks like one without news until its wait is over. The first node
/// whose wait ends tells the others through the replies to calls, so the wait may grow with the
/// fleet. Waits are distributed exponentially: a record that ends the polls of all nodes at the same
/// time then does not align their next ones.
pub fn poll_wait(nodes: usize, fleet_interval: Duration, random: f64) -> Duration {
    let nodes = match u32::try_from(nodes).unwrap_or(u32::MAX) {
        0 => return STARTING_WAIT,
        1 => return LONE_NODE_WAIT,
        nodes => nodes,
    };
    let mean = fleet_interval.saturating_mul(nodes).clamp(MIN_MEAN_WAIT, MAX_WAIT_CAP);
    let cap = Duration::from_secs(u64::from(nodes)).min(MAX_WAIT_CAP);
    mean.mul_f64(-(1.0 - random).ln()).min(cap)
}

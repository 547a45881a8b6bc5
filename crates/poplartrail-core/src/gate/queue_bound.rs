//! Bound on the time that a call may wait in a queue.

use std::time::Duration;

/// Fraction of its latency target that a call may wait in one queue. A request passes a queue in
/// each of the three or four services of the current call graphs, and must not spend more than its
/// target in all of them.
const MAX_WAIT_FRACTION: f64 = 0.25;

/// Returns the longest expected wait for which a call with this latency target is queued.
///
/// A queue only has to keep all permits in use. Under overload a longer queue serves no more calls:
/// it makes each of them late, while the calls that wait for them hold permits of other gates.
pub fn max_queue_wait(target: Duration) -> Duration {
    target.mul_f64(MAX_WAIT_FRACTION)
}

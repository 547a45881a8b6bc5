//! How long a call may wait in the queue.

use std::time::Duration;

/// Part of its target that a call may wait in one queue. A request passes a queue in each of the
/// three or four services of today's call graphs, and is to spend no more than its target in all.
const PART: f64 = 0.25;

/// Longest expected wait with which a call is taken whose answer is wanted within `target`.
///
/// A queue only has to keep the places filled. In a flood a longer one serves no more calls: it
/// makes each of them late, and the requests above them hold their own places meanwhile.
pub fn max_queue_wait(target: Duration) -> Duration {
    target.mul_f64(PART)
}

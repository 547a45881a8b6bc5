//! A watch for connections on which content goes out and nothing comes back.

use std::time::Duration;

use crate::time::Time;

/// Pieces of content that must have gone out unanswered. Lost content is repeated several times
/// within a few round trips, so fewer pieces may be a single loss.
const MIN_UNANSWERED: u64 = 3;
/// Time between two looks from which on the watching process itself did not run; what came for it
/// meanwhile has not been read.
const STALLED: Duration = Duration::from_millis(100);

/// What has passed over a connection since it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Packets that came in.
    pub received_packets: u64,
    /// Pieces of content that went out, each of which the other end has to acknowledge. Bare
    /// acknowledgements are none: a connection at rest ends with one that nobody answers.
    pub ack_eliciting_frames: u64,
}

/// Watches one connection.
#[derive(Debug, Clone, Default)]
pub struct AckWatchdog {
    last: ConnectionCounters,
    looked: Option<Time>,
    since: Option<Time>,
}

impl AckWatchdog {
    /// Takes in what has passed by `now`, and returns whether content has been waiting for any
    /// sign of the other end for `bound`.
    pub fn observe(&mut self, now: Time, seen: ConnectionCounters, bound: Duration) -> bool {
        let pause = self.looked.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        if seen.received_packets != self.last.received_packets {
            self.last = seen;
            self.since = None;
            return false;
        }
        if seen.ack_eliciting_frames == self.last.ack_eliciting_frames {
            return false;
        }
        let mut since = self.since.unwrap_or(now);
        if pause >= STALLED {
            since = now.min(since + pause);
        }
        self.since = Some(since);
        now.since(since) >= bound
            && seen.ack_eliciting_frames >= self.last.ack_eliciting_frames + MIN_UNANSWERED
    }
}

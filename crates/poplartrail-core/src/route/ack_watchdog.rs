//! A watchdog for connections on which frames are sent and no packet is received.

use std::time::Duration;

use crate::time::Time;

/// Frames that must have been sent without a packet in return. Lost frames are sent again several
/// times within a few round trips, so fewer frames may be a single loss.
const MIN_UNACKNOWLEDGED_FRAMES: u64 = 3;
/// If at least this time passes between two observations, this process itself is taken to have been
/// stalled, so that packets which arrived meanwhile have not been read yet.
const STALL_THRESHOLD: Duration = Duration::from_millis(100);

/// Counters of a connection since it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConnectionCounters {
    /// Packets received from the peer.
    pub received_packets: u64,
    /// Frames sent that the peer has to acknowledge. Bare acknowledgements do not count: the last
    /// packet of an exchange is one, and the peer sends nothing in return.
    pub ack_eliciting_frames: u64,
}

/// Watches one connection and expires when sent frames stay unacknowledged.
///
/// Any received packet restarts it, and time for which this process was stalled does not count.
#[derive(Debug, Clone, Default)]
pub struct AckWatchdog {
    last: ConnectionCounters,
    last_observed_at: Option<Time>,
    silent_since: Option<Time>,
}

impl AckWatchdog {
    /// Updates the watchdog with the counters at `now`, and returns whether sent frames have been
    /// without any packet from the peer for `timeout`.
    pub fn observe(&mut self, now: Time, counters: ConnectionCounters, timeout: Duration) -> bool {
        let elapsed = self.last_observed_at.replace(now).map_or(Duration::ZERO, |at| now.since(at));
        if counters.received_packets != self.last.received_packets {
            self.last = counters;
            self.silent_since = None;
            return false;
        }
        if counters.ack_eliciting_frames == self.last.ack_eliciting_frames {
            return false;
        }
        let mut silent_since = self.silent_since.unwrap_or(now);
        if elapsed >= STALL_THRESHOLD {
            silent_since = now.min(silent_since + elapsed);
        }
        self.silent_since = Some(silent_since);
        now.since(silent_since) >= timeout
            && counters.ack_eliciting_frames
                >= self.last.ack_eliciting_frames + MIN_UNACKNOWLEDGED_FRAMES
    }
}

//! When the watchdog for unacknowledged frames expires on a connection between nodes.

use std::time::Duration;

use poplartrail_core::{
    route::{AckWatchdog, ConnectionCounters},
    time::Time,
};

const TIMEOUT: Duration = Duration::from_millis(500);
/// Milliseconds between two observations.
const OBSERVE_INTERVAL_MS: u64 = 25;

/// Observes a connection with these `counters` at each millisecond every [`OBSERVE_INTERVAL_MS`],
/// and returns the first millisecond at which the watchdog has expired.
fn expires_at_ms(until_ms: u64, counters: impl Fn(u64) -> ConnectionCounters) -> Option<u64> {
    let mut watchdog = AckWatchdog::default();
    (0..until_ms)
        .step_by(OBSERVE_INTERVAL_MS as usize)
        .find(|&ms| watchdog.observe(Time::from_millis(ms), counters(ms), TIMEOUT))
}

/// A call after idle time: its packets have been sent, and their acknowledgement is still in
/// transit. The last packet of the previous exchange was a bare acknowledgement, to which the peer
/// sends nothing in return.
#[test]
fn call_after_idle_time_does_not_expire() {
    let counters = |ms| match ms {
        0..100 => ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 },
        100..700 => ConnectionCounters { received_packets: 11, ack_eliciting_frames: 10 },
        700..750 => ConnectionCounters { received_packets: 11, ack_eliciting_frames: 16 },
        _ => ConnectionCounters { received_packets: 13, ack_eliciting_frames: 16 },
    };
    assert_eq!(expires_at_ms(2_000, counters), None);
}

#[test]
fn unacknowledged_frames_expire_after_timeout() {
    let counters = |ms: u64| match ms {
        0..1_000 => ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 },
        // Lost frames are sent again every 100 ms.
        _ => ConnectionCounters {
            received_packets: 10,
            ack_eliciting_frames: 11 + (ms - 1_000) / 100,
        },
    };
    assert_eq!(expires_at_ms(3_000, counters), Some(1_500));
}

#[test]
fn single_loss_does_not_expire() {
    let counters = |ms| ConnectionCounters {
        received_packets: 10,
        ack_eliciting_frames: if ms < 1_000 { 10 } else { 12 },
    };
    assert_eq!(expires_at_ms(3_000, counters), None);
}

#[test]
fn any_packet_restarts_the_watchdog() {
    let counters = |ms| ConnectionCounters {
        received_packets: 10 + ms / 400,
        ack_eliciting_frames: 10 + ms / 10,
    };
    assert_eq!(expires_at_ms(5_000, counters), None);
}

/// A process that is stalled for a second has not read the packets that arrived meanwhile.
#[test]
fn stalled_process_does_not_expire() {
    let mut watchdog = AckWatchdog::default();
    let idle = ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 };
    let sent = ConnectionCounters { received_packets: 10, ack_eliciting_frames: 14 };
    assert!(!watchdog.observe(Time::from_millis(0), idle, TIMEOUT));
    assert!(!watchdog.observe(Time::from_millis(25), sent, TIMEOUT));
    assert!(!watchdog.observe(Time::from_millis(1_025), sent, TIMEOUT));
    assert!(!watchdog.observe(Time::from_millis(1_050), sent, TIMEOUT));
    let received = ConnectionCounters { received_packets: 14, ack_eliciting_frames: 14 };
    assert!(!watchdog.observe(Time::from_millis(1_075), received, TIMEOUT));
}

//! When a connection between nodes counts as silent.

use std::time::Duration;

use poplartrail_core::{
    route::{AckWatchdog, ConnectionCounters},
    time::Time,
};

const BOUND: Duration = Duration::from_millis(500);
/// Milliseconds between two looks.
const LOOK: u64 = 25;

/// Looks every [`LOOK`] at a connection whose traffic at a millisecond is `seen`, and returns the
/// first millisecond at which it counts as silent.
fn silent_at(until: u64, seen: impl Fn(u64) -> ConnectionCounters) -> Option<u64> {
    let mut watch = AckWatchdog::default();
    (0..until)
        .step_by(LOOK as usize)
        .find(|&ms| watch.observe(Time::from_millis(ms), seen(ms), BOUND))
}

/// A call after a pause: its packets are out, and their acknowledgement is still on its way. The
/// last packet of the exchange before was a bare acknowledgement, which nobody answers.
#[test]
fn call_after_a_rest_is_no_silence() {
    let seen = |ms| match ms {
        0..100 => ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 },
        100..700 => ConnectionCounters { received_packets: 11, ack_eliciting_frames: 10 },
        700..750 => ConnectionCounters { received_packets: 11, ack_eliciting_frames: 16 },
        _ => ConnectionCounters { received_packets: 13, ack_eliciting_frames: 16 },
    };
    assert_eq!(silent_at(2_000, seen), None);
}

#[test]
fn unanswered_content_is_silence_after_the_bound() {
    let seen = |ms: u64| match ms {
        0..1_000 => ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 },
        // Content that was lost is sent again and again.
        _ => ConnectionCounters {
            received_packets: 10,
            ack_eliciting_frames: 11 + (ms - 1_000) / 100,
        },
    };
    assert_eq!(silent_at(3_000, seen), Some(1_500));
}

#[test]
fn one_lost_piece_is_no_silence() {
    let seen = |ms| ConnectionCounters {
        received_packets: 10,
        ack_eliciting_frames: if ms < 1_000 { 10 } else { 12 },
    };
    assert_eq!(silent_at(3_000, seen), None);
}

#[test]
fn any_packet_starts_the_watch_again() {
    let seen = |ms| ConnectionCounters {
        received_packets: 10 + ms / 400,
        ack_eliciting_frames: 10 + ms / 10,
    };
    assert_eq!(silent_at(5_000, seen), None);
}

/// A process that does not run for a second has not read what came meanwhile.
#[test]
fn own_pause_is_no_silence() {
    let mut watch = AckWatchdog::default();
    let before = ConnectionCounters { received_packets: 10, ack_eliciting_frames: 10 };
    let sent = ConnectionCounters { received_packets: 10, ack_eliciting_frames: 14 };
    assert!(!watch.observe(Time::from_millis(0), before, BOUND));
    assert!(!watch.observe(Time::from_millis(25), sent, BOUND));
    assert!(!watch.observe(Time::from_millis(1_025), sent, BOUND));
    assert!(!watch.observe(Time::from_millis(1_050), sent, BOUND));
    let heard = ConnectionCounters { received_packets: 14, ack_eliciting_frames: 14 };
    assert!(!watch.observe(Time::from_millis(1_075), heard, BOUND));
}

//! When a connection between nodes counts as silent.

use std::time::Duration;

use poplartrail_core::{
    route::{Traffic, Unheard},
    time::Time,
};

const BOUND: Duration = Duration::from_millis(500);
/// Milliseconds between two looks.
const LOOK: u64 = 25;

/// Looks every [`LOOK`] at a connection whose traffic at a millisecond is `seen`, and returns the
/// first millisecond at which it counts as silent.
fn silent_at(until: u64, seen: impl Fn(u64) -> Traffic) -> Option<u64> {
    let mut watch = Unheard::default();
    (0..until)
        .step_by(LOOK as usize)
        .find(|&ms| watch.is_silent(Time::from_millis(ms), seen(ms), BOUND))
}

/// A call after a pause: its packets are out, and their acknowledgement is still on its way. The
/// last packet of the exchange before was a bare acknowledgement, which nobody answers.
#[test]
fn call_after_a_rest_is_no_silence() {
    let seen = |ms| match ms {
        0..100 => Traffic { heard: 10, content: 10 },
        100..700 => Traffic { heard: 11, content: 10 },
        700..750 => Traffic { heard: 11, content: 16 },
        _ => Traffic { heard: 13, content: 16 },
    };
    assert_eq!(silent_at(2_000, seen), None);
}

#[test]
fn unanswered_content_is_silence_after_the_bound() {
    let seen = |ms: u64| match ms {
        0..1_000 => Traffic { heard: 10, content: 10 },
        // Content that was lost is sent again and again.
        _ => Traffic { heard: 10, content: 11 + (ms - 1_000) / 100 },
    };
    assert_eq!(silent_at(3_000, seen), Some(1_500));
}

#[test]
fn one_lost_piece_is_no_silence() {
    let seen = |ms| Traffic { heard: 10, content: if ms < 1_000 { 10 } else { 12 } };
    assert_eq!(silent_at(3_000, seen), None);
}

#[test]
fn any_packet_starts_the_watch_again() {
    let seen = |ms| Traffic { heard: 10 + ms / 400, content: 10 + ms / 10 };
    assert_eq!(silent_at(5_000, seen), None);
}

/// A process that does not run for a second has not read what came meanwhile.
#[test]
fn own_pause_is_no_silence() {
    let mut watch = Unheard::default();
    let before = Traffic { heard: 10, content: 10 };
    let sent = Traffic { heard: 10, content: 14 };
    assert!(!watch.is_silent(Time::from_millis(0), before, BOUND));
    assert!(!watch.is_silent(Time::from_millis(25), sent, BOUND));
    assert!(!watch.is_silent(Time::from_millis(1_025), sent, BOUND));
    assert!(!watch.is_silent(Time::from_millis(1_050), sent, BOUND));
    let heard = Traffic { heard: 14, content: 14 };
    assert!(!watch.is_silent(Time::from_millis(1_075), heard, BOUND));
}

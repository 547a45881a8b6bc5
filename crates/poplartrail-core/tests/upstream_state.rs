//! Heartbeats and deregistrations of the local upstream, in any order.

use std::{net::SocketAddr, time::Duration};

use poplartrail_core::{
    names::{InstanceName, ServiceName},
    time::WallTime,
    upstream::{
        Deregistration, Heartbeat, HeartbeatError, ReportedState, UpstreamChange, UpstreamState,
    },
};
use test_case::test_case;

const FIRST: WallTime = WallTime::from_millis(1_000);
const SECOND: WallTime = WallTime::from_millis(2_000);
const NOW: WallTime = WallTime::from_millis(5_000);
const LATER: WallTime = WallTime::from_millis(6_000);

fn service() -> ServiceName {
    ServiceName::new("stock").unwrap()
}

fn addr() -> SocketAddr {
    "127.0.0.1:8000".parse().unwrap()
}

fn send_heartbeat(
    state: &mut UpstreamState,
    started_at: WallTime,
) -> Result<UpstreamChange, HeartbeatError> {
    let heartbeat = Heartbeat {
        instance: InstanceName::new("i-1").unwrap(),
        started_at,
        sequence: 9,
        service: service(),
        addr: addr(),
        slots: 4,
        state: ReportedState::Ready,
        warmup_remaining: Duration::ZERO,
    };
    state.apply_heartbeat(&heartbeat, &service(), addr())
}

fn deregister(state: &mut UpstreamState, started_at: Option<WallTime>) -> UpstreamChange {
    let instance = InstanceName::new("i-1").unwrap();
    state.apply_deregistration(&Deregistration { instance, started_at }, NOW)
}

/// The first message that a restarted node receives from its upstream is a deregistration. An older
/// heartbeat that arrives late must not register the upstream again.
#[test_case(Some(FIRST); "with its start time")]
#[test_case(None; "without a start time")]
fn deregistration_of_an_unknown_start_applies(started_at: Option<WallTime>) {
    let mut state = UpstreamState::default();
    assert_eq!(deregister(&mut state, started_at), UpstreamChange::Unchanged);
    assert!(matches!(send_heartbeat(&mut state, FIRST), Err(HeartbeatError::Superseded(_))));
    assert!(state.ready().is_none());
}

#[test_case(Some(FIRST), SECOND; "with its start time")]
#[test_case(None, LATER; "without a start time")]
fn next_start_with_the_same_name_is_accepted(started_at: Option<WallTime>, next: WallTime) {
    let mut state = UpstreamState::default();
    deregister(&mut state, started_at);
    assert_eq!(send_heartbeat(&mut state, next).unwrap(), UpstreamChange::StartedServing);
}

#[test]
fn deregistration_of_a_later_start_ends_the_earlier() {
    let mut state = UpstreamState::default();
    send_heartbeat(&mut state, FIRST).unwrap();
    assert_eq!(deregister(&mut state, Some(SECOND)), UpstreamChange::StoppedServing);
    assert!(
        send_heartbeat(&mut state, FIRST).is_err() && send_heartbeat(&mut state, SECOND).is_err()
    );
}

#[test]
fn late_deregistration_of_an_earlier_start_is_ignored() {
    let mut state = UpstreamState::default();
    send_heartbeat(&mut state, SECOND).unwrap();
    assert_eq!(deregister(&mut state, Some(FIRST)), UpstreamChange::Unchanged);
    assert!(state.ready().is_some());
}

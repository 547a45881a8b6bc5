//! Heartbeats and departures of the own upstream, in any order.

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

fn ready(life: &mut UpstreamState, started_at: WallTime) -> Result<UpstreamChange, HeartbeatError> {
    let check_in = Heartbeat {
        instance: InstanceName::new("i-1").unwrap(),
        started_at,
        sequence: 9,
        service: service(),
        addr: addr(),
        slots: 4,
        state: ReportedState::Ready,
        warmup_remaining: Duration::ZERO,
    };
    life.apply_heartbeat(&check_in, &service(), addr())
}

fn depart(life: &mut UpstreamState, started_at: Option<WallTime>) -> UpstreamChange {
    let instance = InstanceName::new("i-1").unwrap();
    life.apply_deregistration(&Deregistration { instance, started_at }, NOW)
}

/// A node that has just started beside an upstream hears first that it exits. A heartbeat that was
/// under way for longer must not bring it back.
#[test_case(Some(FIRST); "with its start")]
#[test_case(None; "without")]
fn departure_of_an_unknown_start_holds(started_at: Option<WallTime>) {
    let mut life = UpstreamState::default();
    assert_eq!(depart(&mut life, started_at), UpstreamChange::Unchanged);
    assert!(matches!(ready(&mut life, FIRST), Err(HeartbeatError::Superseded(_))));
    assert!(life.ready().is_none());
}

#[test_case(Some(FIRST), SECOND; "with its start")]
#[test_case(None, LATER; "without")]
fn next_start_under_the_same_name_is_taken(started_at: Option<WallTime>, next: WallTime) {
    let mut life = UpstreamState::default();
    depart(&mut life, started_at);
    assert_eq!(ready(&mut life, next).unwrap(), UpstreamChange::StartedServing);
}

#[test]
fn departure_of_a_later_start_ends_the_earlier() {
    let mut life = UpstreamState::default();
    ready(&mut life, FIRST).unwrap();
    assert_eq!(depart(&mut life, Some(SECOND)), UpstreamChange::StoppedServing);
    assert!(ready(&mut life, FIRST).is_err() && ready(&mut life, SECOND).is_err());
}

#[test]
fn late_departure_of_an_earlier_start_changes_nothing() {
    let mut life = UpstreamState::default();
    ready(&mut life, SECOND).unwrap();
    assert_eq!(depart(&mut life, Some(FIRST)), UpstreamChange::Unchanged);
    assert!(life.ready().is_some());
}

//! The life of the upstream beside the node, as types.
//!
//! ```text
//! Absent --heartbeat--> Attached<Ready> --drain--> Attached<Leaving> --deregistration--> Absent
//! ```

use std::net::SocketAddr;

use crate::{
    names::{InstanceName, ServiceName},
    time::WallTime,
    upstream::{Deregistration, Heartbeat, HeartbeatError, ReportedState},
};

/// The upstream takes work.
#[derive(Debug, Clone, Copy)]
pub struct Ready(());

/// The upstream finishes what it has; there is no way back to [`Ready`] for the same start.
#[derive(Debug, Clone, Copy)]
pub struct Leaving(());

/// One start of an upstream, in the state `S`.
#[derive(Debug, Clone)]
pub struct Attached<S> {
    instance: InstanceName,
    born: WallTime,
    sequence: u64,
    slots: usize,
    _state: S,
}

impl<S> Attached<S> {
    /// Name of the instance.
    pub fn instance(&self) -> &InstanceName {
        &self.instance
    }

    /// When it started.
    pub fn started_at(&self) -> WallTime {
        self.born
    }

    /// Requests that it runs at a time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    fn is_start_of(&self, check_in: &Heartbeat) -> bool {
        self.instance == check_in.instance && self.born == check_in.started_at
    }
}

impl Attached<Ready> {
    /// Takes in that the upstream is leaving.
    pub fn leave(self) -> Attached<Leaving> {
        let Self { instance, born, sequence, slots, _state } = self;
        Attached { instance, born, sequence, slots, _state: Leaving(()) }
    }
}

/// What a message of the upstream changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// Nothing that others need to know.
    Unchanged,
    /// A start that takes work has appeared.
    StartedServing,
    /// The upstream takes no new work.
    StoppedServing,
}

/// The present state of the upstream.
#[derive(Debug, Clone)]
pub enum UpstreamState {
    /// None is known; a start at or before `gone` has left.
    Absent {
        /// The start that left last.
        gone: Option<(InstanceName, WallTime)>,
    },
    /// It takes work.
    Ready(Attached<Ready>),
    /// It finishes what it has.
    Leaving(Attached<Leaving>),
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self::Absent { gone: None }
    }
}

impl UpstreamState {
    /// Name of the instance that takes work.
    pub fn ready(&self) -> Option<&Attached<Ready>> {
        match self {
            UpstreamState::Ready(attached) => Some(attached),
            _ => None,
        }
    }

    /// A word for status pages.
    pub fn label(&self) -> &'static str {
        match self {
            UpstreamState::Absent { .. } => "absent",
            UpstreamState::Ready(_) => "ready",
            UpstreamState::Leaving(_) => "leaving",
        }
    }

    /// Takes in a heartbeat; `service` and `addr` are those that the node stands before.
    pub fn apply_heartbeat(
        &mut self,
        check_in: &Heartbeat,
        service: &ServiceName,
        addr: SocketAddr,
    ) -> Result<UpstreamChange, HeartbeatError> {
        if check_in.service != *service {
            let theirs = check_in.service.clone();
            return Err(HeartbeatError::WrongService(theirs, service.clone()));
        }
        if check_in.addr != addr {
            return Err(HeartbeatError::WrongAddress(check_in.addr, addr));
        }
        if self.is_outdated(check_in) {
            return Err(HeartbeatError::Superseded(check_in.instance.clone()));
        }
        Ok(self.advance(check_in))
    }

    /// Takes in, at `now`, that the upstream is about to exit.
    ///
    /// It is remembered also of a start that has not been heard of: a node may have started after
    /// the upstream, and heartbeats may be late.
    pub fn apply_deregistration(
        &mut self,
        departure: &Deregistration,
        now: WallTime,
    ) -> UpstreamChange {
        let known = match self {
            UpstreamState::Ready(known) => Some((&known.instance, known.born)),
            UpstreamState::Leaving(known) => Some((&known.instance, known.born)),
            UpstreamState::Absent { gone } => gone.as_ref().map(|(name, born)| (name, *born)),
        };
        let (instance, born) = match (known, departure.started_at) {
            (Some((_, born)), Some(theirs)) if theirs < born => return UpstreamChange::Unchanged,
            (_, Some(theirs)) => (departure.instance.clone(), theirs),
            // A departure that names no start is that of the known one, if the name is the same.
            (Some((name, born)), None) if *name == departure.instance => (name.clone(), born),
            (Some(_), None) => return UpstreamChange::Unchanged,
            (None, None) => (departure.instance.clone(), now),
        };
        let was_ready = self.ready().is_some();
        *self = UpstreamState::Absent { gone: Some((instance, born)) };
        if was_ready { UpstreamChange::StoppedServing } else { UpstreamChange::Unchanged }
    }

    /// Whether a later start is known, or this start has already left.
    fn is_outdated(&self, check_in: &Heartbeat) -> bool {
        match self {
            UpstreamState::Absent { gone: None } => false,
            UpstreamState::Absent { gone: Some((instance, born)) } => {
                check_in.started_at < *born
                    || (check_in.started_at == *born && check_in.instance == *instance)
            }
            UpstreamState::Ready(known) => check_in.started_at < known.born,
            UpstreamState::Leaving(known) => check_in.started_at < known.born,
        }
    }

    fn advance(&mut self, check_in: &Heartbeat) -> UpstreamChange {
        match self {
            UpstreamState::Ready(known) if known.is_start_of(check_in) => {
                if check_in.sequence <= known.sequence {
                    return UpstreamChange::Unchanged;
                }
                known.sequence = check_in.sequence;
                known.slots = check_in.slots;
                if check_in.state == ReportedState::Ready {
                    return UpstreamChange::Unchanged;
                }
                *self = UpstreamState::Leaving(known.clone().leave());
                UpstreamChange::StoppedServing
            }
            // A heartbeat that is late must not bring a leaving start back.
            UpstreamState::Leaving(known) if known.is_start_of(check_in) => {
                UpstreamChange::Unchanged
            }
            _ => self.attach(check_in),
        }
    }

    fn attach(&mut self, check_in: &Heartbeat) -> UpstreamChange {
        let was_ready = self.ready().is_some();
        let attached = Attached {
            instance: check_in.instance.clone(),
            born: check_in.started_at,
            sequence: check_in.sequence,
            slots: check_in.slots,
            _state: Ready(()),
        };
        match check_in.state {
            ReportedState::Ready => {
                *self = UpstreamState::Ready(attached);
                UpstreamChange::StartedServing
            }
            ReportedState::Draining => {
                *self = UpstreamState::Leaving(attached.leave());
                if was_ready { UpstreamChange::StoppedServing } else { UpstreamChange::Unchanged }
            }
        }
    }
}

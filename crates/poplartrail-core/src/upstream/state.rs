//! Typestate of the local upstream.
//!
//! ```text
//! Absent              --heartbeat: ready-----> Registration<Ready>
//! Absent              --heartbeat: draining--> Registration<Draining>
//! Registration<Ready> --heartbeat: draining--> Registration<Draining>
//! Registration<Ready> --answer: leaving------> Registration<Draining>
//! any state           --deregistration-------> Absent
//! Absent, or any      --restored: draining---> Registration<Draining>
//! earlier incarnation
//! ```
//!
//! An incarnation of the upstream is one process, from its start to its exit. Its instance name and
//! start time identify it. A heartbeat of another incarnation that started no earlier
//! replaces the registration in any state. Messages of earlier incarnations change nothing.

use std::net::SocketAddr;

use crate::{
    names::{InstanceName, ServiceName},
    time::WallTime,
    upstream::{Deregistration, Heartbeat, HeartbeatError, ReportedState, UpstreamIncarnation},
};

/// The upstream accepts work.
#[derive(Debug, Clone, Copy)]
pub struct Ready(());

/// The upstream finishes the requests in progress. An incarnation that drains never returns to
/// [`Ready`].
#[derive(Debug, Clone, Copy)]
pub struct Draining(());

/// The registered incarnation of the upstream, in the state `S`.
#[derive(Debug, Clone)]
pub struct Registration<S> {
    incarnation: UpstreamIncarnation,
    sequence: u64,
    slots: usize,
    _state: S,
}

impl<S> Registration<S> {
    /// Returns the incarnation that is registered.
    pub fn incarnation(&self) -> &UpstreamIncarnation {
        &self.incarnation
    }

    /// Returns the name of the instance.
    pub fn instance(&self) -> &InstanceName {
        &self.incarnation.instance
    }

    /// Returns the time at which the instance started, by its own clock.
    pub fn started_at(&self) -> WallTime {
        self.incarnation.started_at
    }

    /// Returns the maximum number of requests that the instance runs at the same time.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns whether `heartbeat` is from the registered incarnation.
    fn is_same_incarnation(&self, heartbeat: &Heartbeat) -> bool {
        self.incarnation.instance == heartbeat.instance
            && self.incarnation.started_at == heartbeat.started_at
    }
}

impl Registration<Ready> {
    /// Marks the upstream as draining.
    pub fn drain(self) -> Registration<Draining> {
        let Self { incarnation, sequence, slots, _state } = self;
        Registration { incarnation, sequence, slots, _state: Draining(()) }
    }
}

impl Registration<Draining> {
    /// Restores the registration of an incarnation that an earlier process of the node has
    /// acknowledged as draining.
    pub fn restore(incarnation: UpstreamIncarnation) -> Self {
        Self { incarnation, sequence: 0, slots: 0, _state: Draining(()) }
    }
}

/// What a message from the upstream changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamChange {
    /// Nothing changed that other nodes need to know about.
    Unchanged,
    /// A new incarnation has registered and accepts work.
    StartedServing,
    /// The upstream no longer accepts new work.
    StoppedServing,
}

/// Present state of the upstream.
#[derive(Debug, Clone)]
pub enum UpstreamState {
    /// No upstream is registered.
    Absent {
        /// Incarnation that was deregistered last. Heartbeats of it and of earlier ones are
        /// refused.
        last_deregistered: Option<UpstreamIncarnation>,
    },
    /// The upstream accepts work.
    Ready(Registration<Ready>),
    /// The upstream finishes the requests in progress and accepts no new ones.
    Draining(Registration<Draining>),
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self::Absent { last_deregistered: None }
    }
}

impl UpstreamState {
    /// Returns the registration of the upstream, if it accepts work.
    pub fn ready(&self) -> Option<&Registration<Ready>> {
        match self {
            UpstreamState::Ready(registration) => Some(registration),
            _ => None,
        }
    }

    /// Returns the latest known incarnation, whatever its state.
    pub fn incarnation(&self) -> Option<&UpstreamIncarnation> {
        match self {
            UpstreamState::Absent { last_deregistered } => last_deregistered.as_ref(),
            UpstreamState::Ready(known) => Some(&known.incarnation),
            UpstreamState::Draining(known) => Some(&known.incarnation),
        }
    }

    /// Returns the latest known incarnation if it takes no new work any more.
    pub fn left(&self) -> Option<&UpstreamIncarnation> {
        self.incarnation().filter(|_| self.ready().is_none())
    }

    /// Applies that an earlier process of the node has acknowledged `incarnation` as draining or
    /// deregistered. An incarnation that drains never accepts work again.
    pub fn restore_drained(&mut self, incarnation: UpstreamIncarnation) -> UpstreamChange {
        let is_outdated = self.incarnation().is_some_and(|known| {
            *known != incarnation && known.started_at >= incarnation.started_at
        });
        if is_outdated || self.left() == Some(&incarnation) {
            return UpstreamChange::Unchanged;
        }
        let was_ready = self.ready().is_some();
        *self = UpstreamState::Draining(Registration::restore(incarnation));
        if was_ready { UpstreamChange::StoppedServing } else { UpstreamChange::Unchanged }
    }

    /// Applies that `incarnation` has stated in an answer that it is about to exit.
    pub fn apply_leaving(&mut self, incarnation: &UpstreamIncarnation) -> UpstreamChange {
        match self {
            UpstreamState::Ready(known) if known.incarnation == *incarnation => {
                *self = UpstreamState::Draining(known.clone().drain());
                UpstreamChange::StoppedServing
            }
            _ => UpstreamChange::Unchanged,
        }
    }

    /// Returns the name of the state on status pages and in events.
    pub fn label(&self) -> &'static str {
        match self {
            UpstreamState::Absent { .. } => "absent",
            UpstreamState::Ready(_) => "ready",
            // The published word for draining.
            UpstreamState::Draining(_) => "leaving",
        }
    }

    /// Applies a heartbeat. `service` and `addr` are those of the upstream of this node.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        service: &ServiceName,
        addr: SocketAddr,
    ) -> Result<UpstreamChange, HeartbeatError> {
        if heartbeat.service != *service {
            let reported = heartbeat.service.clone();
            return Err(HeartbeatError::WrongService(reported, service.clone()));
        }
        if heartbeat.addr != addr {
            return Err(HeartbeatError::WrongAddress(heartbeat.addr, addr));
        }
        if self.is_outdated(heartbeat) {
            return Err(HeartbeatError::Superseded(heartbeat.instance.clone()));
        }
        Ok(self.apply_current(heartbeat))
    }

    /// Applies, at `now`, the message that the upstream is about to exit.
    ///
    /// A deregistration is stored even if the incarnation has never sent a heartbeat to this node,
    /// because the node may have started after the upstream, and heartbeats may arrive late.
    pub fn apply_deregistration(
        &mut self,
        deregistration: &Deregistration,
        now: WallTime,
    ) -> UpstreamChange {
        let started_at = match (self.incarnation(), deregistration.started_at) {
            (Some(known), Some(stated)) if stated < known.started_at => {
                return UpstreamChange::Unchanged;
            }
            (_, Some(stated)) => stated,
            // A deregistration without a start time applies to the known incarnation of the same
            // name.
            (Some(known), None) if known.instance == deregistration.instance => known.started_at,
            (Some(_), None) => return UpstreamChange::Unchanged,
            (None, None) => now,
        };
        let was_ready = self.ready().is_some();
        let instance = deregistration.instance.clone();
        let last_deregistered = Some(UpstreamIncarnation { instance, started_at });
        *self = UpstreamState::Absent { last_deregistered };
        if was_ready { UpstreamChange::StoppedServing } else { UpstreamChange::Unchanged }
    }

    /// Returns whether `heartbeat` is from an incarnation that has been deregistered, or from an
    /// earlier one than the latest known.
    fn is_outdated(&self, heartbeat: &Heartbeat) -> bool {
        match self {
            UpstreamState::Absent { last_deregistered: None } => false,
            UpstreamState::Absent { last_deregistered: Some(last) } => {
                heartbeat.started_at < last.started_at
                    || (heartbeat.started_at == last.started_at
                        && heartbeat.instance == last.instance)
            }
            UpstreamState::Ready(known) => heartbeat.started_at < known.started_at(),
            UpstreamState::Draining(known) => heartbeat.started_at < known.started_at(),
        }
    }

    fn apply_current(&mut self, heartbeat: &Heartbeat) -> UpstreamChange {
        match self {
            UpstreamState::Ready(known) if known.is_same_incarnation(heartbeat) => {
                if heartbeat.sequence <= known.sequence {
                    return UpstreamChange::Unchanged;
                }
                known.sequence = heartbeat.sequence;
                known.slots = heartbeat.slots;
                if heartbeat.state == ReportedState::Ready {
                    return UpstreamChange::Unchanged;
                }
                *self = UpstreamState::Draining(known.clone().drain());
                UpstreamChange::StoppedServing
            }
            // A late heartbeat must not return a draining incarnation to `Ready`.
            UpstreamState::Draining(known) if known.is_same_incarnation(heartbeat) => {
                UpstreamChange::Unchanged
            }
            _ => self.register(heartbeat),
        }
    }

    fn register(&mut self, heartbeat: &Heartbeat) -> UpstreamChange {
        let was_ready = self.ready().is_some();
        let registration = Registration {
            incarnation: UpstreamIncarnation {
                instance: heartbeat.instance.clone(),
                started_at: heartbeat.started_at,
            },
            sequence: heartbeat.sequence,
            slots: heartbeat.slots,
            _state: Ready(()),
        };
        match heartbeat.state {
            ReportedState::Ready => {
                *self = UpstreamState::Ready(registration);
                UpstreamChange::StartedServing
            }
            ReportedState::Draining => {
                *self = UpstreamState::Draining(registration.drain());
                if was_ready { UpstreamChange::StoppedServing } else { UpstreamChange::Unchanged }
            }
        }
    }
}

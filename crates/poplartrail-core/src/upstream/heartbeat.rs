//! Messages by which an upstream reports its state.

use std::{net::SocketAddr, time::Duration};

use crate::{
    names::{InstanceName, ServiceName},
    time::WallTime,
};

/// State that an upstream reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The upstream accepts work.
    Ready,
    /// The upstream finishes the requests in progress and accepts no new work.
    Draining,
}

/// Message that an upstream sends at intervals to report its state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the instance; it may stay the same after a restart.
    pub instance: InstanceName,
    /// Time at which the instance started, by its own clock.
    pub started_at: WallTime,
    /// Sequence number, which grows with each heartbeat of one incarnation.
    pub sequence: u64,
    /// Service that the instance provides.
    pub service: ServiceName,
    /// Address at which the instance accepts requests.
    pub addr: SocketAddr,
    /// Maximum number of requests that the instance runs at the same time.
    pub slots: usize,
    /// Whether the instance accepts work.
    pub state: ReportedState,
    /// Remaining time for which the instance is slow after its start.
    pub warmup_remaining: Duration,
}

/// Message that an upstream is about to exit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deregistration {
    /// Name of the instance that exits.
    pub instance: InstanceName,
    /// Time at which the instance started, by its own clock; `None` if the message does not state
    /// it.
    pub started_at: Option<WallTime>,
}

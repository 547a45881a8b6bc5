//! What an upstream says of itself.

use std::{net::SocketAddr, time::Duration};

use crate::{
    names::{InstanceName, ServiceName},
    time::WallTime,
};

/// Whether an upstream wants work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// It takes work.
    Ready,
    /// It finishes what it has and leaves.
    Draining,
}

/// A heartbeat of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the instance; a restart may keep it.
    pub instance: InstanceName,
    /// When the instance started, by its own clock.
    pub started_at: WallTime,
    /// Number that grows with each heartbeat of one start.
    pub sequence: u64,
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub addr: SocketAddr,
    /// Requests that it runs at a time.
    pub slots: usize,
    /// Whether it wants work.
    pub state: ReportedState,
    /// How much longer it is slow after its start.
    pub warmup_remaining: Duration,
}

/// The news that an upstream is about to exit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Deregistration {
    /// Name of the instance.
    pub instance: InstanceName,
    /// When it started, if it says so.
    pub started_at: Option<WallTime>,
}

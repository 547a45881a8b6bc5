//! A summary of a node for status pages and metrics.

use std::net::SocketAddr;

use crate::names::{RankName, ServiceName, VmName, ZoneName};

/// One rank at this node's gate.
#[derive(Debug, Clone, PartialEq)]
pub struct RankStatus {
    /// Name of the rank.
    pub rank: RankName,
    /// Fraction that the own gate admits.
    pub share: f64,
    /// Fraction that the gate and everything below it admit.
    pub path_share: f64,
}

/// One known instance.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// Its service.
    pub service: ServiceName,
    /// Its VM.
    pub vm: VmName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub addr: SocketAddr,
    /// Whether it may be chosen now.
    pub is_available: bool,
    /// Calls of this node in progress there.
    pub outstanding: u32,
}

/// State of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeStatus {
    /// VM of the node.
    pub vm: VmName,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its phase.
    pub phase: &'static str,
    /// Number of accepted changes of the configuration in force.
    pub config_version: u64,
    /// Calls that may be in progress.
    pub concurrency_limit: usize,
    /// Calls in the upstream.
    pub in_flight: usize,
    /// Calls that wait.
    pub queued: usize,
    /// Key slots held.
    pub key_slots: usize,
    /// Keys remembered.
    pub remembered_keys: usize,
    /// Ranks, most urgent first.
    pub ranks: Vec<RankStatus>,
    /// Known instances.
    pub instances: Vec<InstanceStatus>,
}

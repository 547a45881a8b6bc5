//! Summary of a node for status pages and metrics.

use std::net::SocketAddr;

use crate::{
    names::{RankName, ServiceName, VmName, ZoneName},
    upstream::CallRate,
};

/// State of one rank at this node's gate.
#[derive(Debug, Clone, PartialEq)]
pub struct RankStatus {
    /// Name of the rank.
    pub rank: RankName,
    /// Fraction of the rank that this gate admits, from 0 to 1.
    pub share: f64,
    /// Fraction of the rank that this gate and all gates below it admit, from 0 to 1.
    pub path_share: f64,
}

/// State of one known instance, as this node sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct InstanceStatus {
    /// Service that the instance runs.
    pub service: ServiceName,
    /// VM of the instance.
    pub vm: VmName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for calls of other nodes.
    pub addr: SocketAddr,
    /// Whether the router may choose the instance at present.
    pub is_available: bool,
    /// Number of this node's calls in progress at the instance.
    pub outstanding: u32,
}

/// State of one node.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeStatus {
    /// VM of the node.
    pub vm: VmName,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Availability zone of the node.
    pub zone: ZoneName,
    /// Label of the node's phase.
    pub phase: &'static str,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// Maximum number of calls in the upstream; `usize::MAX` if it is not limited.
    pub concurrency_limit: usize,
    /// Limit that the upstream names for the rate of its calls; `None` if it names none.
    pub named_limit: Option<CallRate>,
    /// Number of calls in the upstream.
    pub in_flight: usize,
    /// Number of calls in the gate's queue.
    pub queued: usize,
    /// Number of key slots that the node holds.
    pub key_slots: usize,
    /// Number of idempotency keys in the ledger.
    pub remembered_keys: usize,
    /// Ranks, most urgent first.
    pub ranks: Vec<RankStatus>,
    /// Known instances of all services.
    pub instances: Vec<InstanceStatus>,
}

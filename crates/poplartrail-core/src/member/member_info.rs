//! What a node announces of itself.

use std::net::SocketAddr;

use crate::names::{ServiceName, VmName, ZoneName};

/// One start of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// VM of the node.
    pub vm: VmName,
    /// Number that grows with each start.
    pub incarnation: u64,
    /// Service of the upstream on the VM.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address for other nodes.
    pub addr: SocketAddr,
    /// Address for operators: health, metrics, status and events.
    pub report_addr: SocketAddr,
}

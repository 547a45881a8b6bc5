//! Identity and addresses that a node announces in the log.

use std::net::SocketAddr;

use crate::names::{ServiceName, VmName, ZoneName};

/// One incarnation of a node, with its addresses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// VM of the node.
    pub vm: VmName,
    /// Number that grows with each start of the node and, on a hosted node, of its upstream.
    pub incarnation: u64,
    /// Service that the upstream on the VM provides.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Address at which the node accepts calls of other nodes.
    pub addr: SocketAddr,
    /// Address of the pages for operators: health, metrics, status and events.
    pub report_addr: SocketAddr,
}

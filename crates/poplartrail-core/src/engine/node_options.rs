//! Options of a node, and the port that turns documents into a policy.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    config::DocumentCheck,
    engine::{CallOptions, ClusterState},
    member::Member,
    names::VmName,
    policy::Policy,
    site::SiteConfig,
};

/// Port that decodes configuration documents into a policy.
pub trait PolicySource: DocumentCheck {
    /// Returns the policy of this node's site, or `None` while there is no base document.
    fn policy(&self, cluster: &ClusterState) -> Option<Policy>;

    /// Decodes the document of a hosting platform's configuration, or returns the reason why it is
    /// invalid.
    fn decode_site(&self, _document: &Bytes) -> Result<SiteConfig, Arc<str>> {
        Err(Arc::from(
            "this node does not read documents of a hosting platform: start it with --platform",
        ))
    }
}

/// Options of [`Node`](crate::engine::Node).
pub struct NodeOptions {
    /// The node as a member: its VM, service, zone and addresses.
    pub local_member: Member,
    /// Policy in force until a configuration has been read.
    pub initial_policy: Arc<Policy>,
    /// Options of the calls in progress.
    pub call_options: CallOptions,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Nodes to ask for configuration and members while the platform log cannot be read.
    pub seeds: Vec<(VmName, SocketAddr)>,
    /// Checks and decodes documents.
    pub policy_source: Box<dyn PolicySource + Send>,
}

//! Parameters of a node, and the port through which its configuration is read.

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

/// The port through which documents become a policy.
pub trait PolicySource: DocumentCheck {
    /// The policy of this node's site, or `None` while there is no base document.
    fn policy(&self, cluster: &ClusterState) -> Option<Policy>;

    /// Reads the document of a site's configuration, or tells why it cannot be used.
    fn site(&self, _document: &Bytes) -> Result<SiteConfig, Arc<str>> {
        Err(Arc::from("this node has no reader for such documents: start it with --platform"))
    }
}

/// Parameters of [`Node`](crate::engine::Node).
pub struct NodeOptions {
    /// Who the node is.
    pub local_member: Member,
    /// The policy before any configuration has been read.
    pub initial_policy: Arc<Policy>,
    /// Parameters of the calls.
    pub call_options: CallOptions,
    /// Time for which the log keeps records.
    pub retention: Duration,
    /// Nodes to ask while the platform log is down.
    pub seeds: Vec<(VmName, SocketAddr)>,
    /// How documents are checked and read.
    pub policy_source: Box<dyn PolicySource + Send>,
}

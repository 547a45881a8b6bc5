//! What nodes tell each other of an upstream.

use std::time::Duration;

use crate::upstream::{CallRate, UpstreamIncarnation};

/// Limit of one incarnation of an upstream and whether it leaves, as a node knows it.
///
/// A node reports the terms of its upstream with its replies, and the nodes that have heard of them
/// state them with their calls. So the next process of the first node learns them again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamTerms {
    /// Incarnation that the terms are of.
    pub incarnation: UpstreamIncarnation,
    /// Calls a second that it takes from all nodes together; `None` if it names no limit.
    pub limit: Option<CallRate>,
    /// Time since it last named the limit.
    pub age: Duration,
    /// Whether it is about to exit and takes no new work. This is never withdrawn.
    pub is_leaving: bool,
}

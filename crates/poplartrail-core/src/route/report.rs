//! The load report that a gate sends back with every reply.

use crate::{
    call::{RetryBudget, Share},
    upstream::UpstreamTerms,
};

/// State of a gate, piggybacked on each reply to the calling node so that it needs no message of
/// its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateReport {
    /// Share of the call's rank that the gate and everything below it admit.
    pub share: Share,
    /// That share for every rank, in the order of the configuration that the replying node has in
    /// force.
    pub shares: Vec<Share>,
    /// Calls in progress and queued at the gate, in parts of 1 024 of its limit.
    pub load: u16,
    /// Whether the replying node takes no more calls because it is draining.
    pub is_draining: bool,
    /// Retries that the call and its nested calls have not used, returned to the calling node.
    pub unspent_retries: RetryBudget,
    /// Version of the newest configuration that the replying node has in force.
    pub config_version: u64,
    /// Terms of the replying node's upstream; `None` if it names no limit and does not
    /// leave.
    pub terms: Option<UpstreamTerms>,
}

impl Default for GateReport {
    fn default() -> Self {
        Self {
            share: Share::FULL,
            shares: Vec::new(),
            load: 0,
            is_draining: false,
            unspent_retries: RetryBudget::default(),
            config_version: 0,
            terms: None,
        }
    }
}

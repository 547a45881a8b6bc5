//! What a gate tells with every answer.

use crate::call::{RetryBudget, Share};

/// State of a gate, carried back on each answer, so that it costs no message of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GateReport {
    /// Fraction of the call's rank that the gate and everything below it admit.
    pub share: Share,
    /// The same for every rank, in the order of the configuration that the node has in force.
    pub shares: Vec<Share>,
    /// Calls in progress as parts of 1 024 of the limit.
    pub load: u16,
    /// Whether the node is leaving.
    pub is_draining: bool,
    /// Retries that the call and its children did not spend.
    pub unspent: RetryBudget,
    /// Number of the newest configuration that the node has in force.
    pub config_version: u64,
}

impl Default for GateReport {
    fn default() -> Self {
        Self {
            share: Share::FULL,
            shares: Vec::new(),
            load: 0,
            is_draining: false,
            unspent: RetryBudget::default(),
            config_version: 0,
        }
    }
}

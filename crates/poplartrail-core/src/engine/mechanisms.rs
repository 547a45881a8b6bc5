//! Mechanisms that act across nodes, each of which a baseline measurement may switch off.

/// Switches for the mechanisms that act across nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Whether all hops shed the same requests first.
    pub has_consistent_shedding: bool,
    /// Whether the shares of gates further down are reported back, and entry nodes apply them.
    pub has_path_shares: bool,
    /// Whether all retries for a request come from one budget.
    pub has_request_retry_budget: bool,
    /// Whether silent connections are replaced.
    pub has_silence_detection: bool,
    /// Whether missing answers alone, compared with the observed latency, make a connection silent.
    pub has_answer_watchdog: bool,
    /// Whether the ledger keeps calls with an idempotency key to one run.
    pub has_deduplication: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self {
            has_consistent_shedding: true,
            has_path_shares: true,
            has_request_retry_budget: true,
            has_silence_detection: true,
            has_answer_watchdog: true,
            has_deduplication: true,
        }
    }
}

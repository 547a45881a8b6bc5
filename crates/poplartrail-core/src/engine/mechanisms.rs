//! Which mechanisms a node uses; the others serve as baselines of measurements.

/// Switches for the mechanisms that act across nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Mechanisms {
    /// Whether all hops shed by the same order of requests.
    pub has_consistent_shedding: bool,
    /// Whether shares of deeper gates are carried back, and entry nodes act on them.
    pub has_path_shares: bool,
    /// Whether retries come from one budget for the whole request.
    pub has_request_retry_budget: bool,
    /// Whether silent connections are replaced.
    pub has_silence_detection: bool,
    /// Whether a lack of answers alone, judged by observed latency, makes a connection silent.
    pub has_answer_watchdog: bool,
    /// Whether the keys of non-idempotent calls are kept to one run.
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

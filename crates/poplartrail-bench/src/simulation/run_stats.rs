//! What is counted.

use std::collections::HashMap;

use poplartrail_core::{call::Refusal, time::Time};

/// Counts of one rank within the measured time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankStats {
    /// Requests that callers sent.
    pub offered: u64,
    /// Requests that were answered whole and in time.
    pub succeeded: u64,
    /// Requests that were refused before they ran.
    pub not_run: u64,
    /// Requests that ran and failed, or whose outcome is not known.
    pub failed: u64,
}

/// Everything that a run counts.
#[derive(Debug, Default)]
pub struct RunStats {
    /// Counts by rank.
    pub ranks: Vec<RankStats>,
    /// Whole requests by second of virtual time.
    pub succeeded_by_second: Vec<u64>,
    /// Slot time of all calls, in seconds.
    pub slot_time_s: f64,
    /// Slot time of calls whose request failed, in seconds.
    pub wasted_slot_time_s: f64,
    /// Repeated sends of nodes.
    pub retries: u64,
    /// Largest number of repeated sends for one request.
    pub max_retries_per_request: u32,
    /// Urgent calls refused by a gate in an interval in which it admitted less urgent ones.
    pub order_violations: u64,
    /// Refusals that callers were told, by rank and reason.
    pub refusals: HashMap<(usize, Refusal), u64>,
    /// Slot time of each node, in seconds.
    pub slot_time_s_by_node: Vec<f64>,
    /// Limit of each node's gate at the end.
    pub limits: Vec<usize>,
    /// Urgent calls refused by gates for overload.
    pub urgent_shed: u64,
    pub(crate) slot_time_s_by_request: HashMap<u128, f64>,
    pub(crate) retries_by_request: HashMap<u128, u32>,
}

impl RunStats {
    pub(crate) fn new(ranks: usize) -> Self {
        Self { ranks: vec![RankStats::default(); ranks], ..Self::default() }
    }

    pub(crate) fn record_success(&mut self, at: Time) {
        let second = at.as_secs_f64() as usize;
        if self.succeeded_by_second.len() <= second {
            self.succeeded_by_second.resize(second + 1, 0);
        }
        self.succeeded_by_second[second] += 1;
    }

    pub(crate) fn record_slot_time(&mut self, node: usize, request: u128, seconds: f64) {
        if self.slot_time_s_by_node.len() <= node {
            self.slot_time_s_by_node.resize(node + 1, 0.0);
        }
        self.slot_time_s_by_node[node] += seconds;
        self.slot_time_s += seconds;
        *self.slot_time_s_by_request.entry(request).or_default() += seconds;
    }

    pub(crate) fn record_retry(&mut self, request: u128) {
        self.retries += 1;
        let count = self.retries_by_request.entry(request).or_default();
        *count += 1;
        self.max_retries_per_request = self.max_retries_per_request.max(*count);
    }

    pub(crate) fn record_request_end(&mut self, request: u128, is_success: bool) {
        let spent = self.slot_time_s_by_request.remove(&request).unwrap_or(0.0);
        if !is_success {
            self.wasted_slot_time_s += spent;
        }
    }

    /// Whole requests of all ranks.
    pub fn succeeded(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.succeeded).sum()
    }

    /// Requests of all ranks.
    pub fn offered(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.offered).sum()
    }

    /// Share of slot time that was spent on requests that failed.
    pub fn wasted_share(&self) -> f64 {
        if self.slot_time_s > 0.0 { self.wasted_slot_time_s / self.slot_time_s } else { 0.0 }
    }

    /// Share of a rank's requests that were whole.
    pub fn success_share(&self, rank: usize) -> f64 {
        let RankStats { offered, succeeded, .. } = self.ranks[rank];
        if offered == 0 { 1.0 } else { succeeded as f64 / offered as f64 }
    }

    /// Seconds from `end` until the whole requests of two seconds in a row reach `level`.
    pub fn recovery_s(&self, end: usize, level: f64) -> Option<usize> {
        let reaches = |at: usize| {
            self.succeeded_by_second.get(at).is_some_and(|count| *count as f64 >= level)
        };
        let last = self.succeeded_by_second.len();
        (end..last.saturating_sub(2)).find(|&at| reaches(at) && reaches(at + 1)).map(|at| at - end)
    }
}

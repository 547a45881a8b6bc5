//! Results of a simulation.

use std::collections::HashMap;

use poplartrail_core::{call::Refusal, time::Time};

/// Requests of one rank that were sent within the measurement window, by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RankStats {
    /// Requests that callers sent, repeats not included.
    pub offered: u64,
    /// Requests that were answered successfully within the target of the rank.
    pub succeeded: u64,
    /// Requests that a node refused and that did not run.
    pub not_run: u64,
    /// Requests that were answered late or with an error, or with an unknown outcome.
    pub failed: u64,
}

/// Measurements of one run.
#[derive(Debug, Default)]
pub struct RunStats {
    /// Request counts by rank index.
    pub ranks: Vec<RankStats>,
    /// Successful requests by the second of virtual time in which they ended, in the whole run.
    pub succeeded_by_second: Vec<u64>,
    /// Time for which calls held slots, in seconds, of calls that started within the window.
    pub slot_time_s: f64,
    /// Part of the slot time that was spent on requests that did not succeed, in seconds.
    pub wasted_slot_time_s: f64,
    /// Retries by all nodes.
    pub retries: u64,
    /// Largest number of retries by all nodes for one request id.
    pub max_retries_per_request: u32,
    /// Urgent calls refused for overload in an interval in which the same gate dispatched a less
    /// urgent call.
    pub order_violations: u64,
    /// Final refusals returned to callers, by rank index and reason.
    pub refusals: HashMap<(usize, Refusal), u64>,
    /// Slot time by node index, in seconds.
    pub slot_time_s_by_node: Vec<f64>,
    /// Concurrency limit of the gate at the end of the run, by node index.
    pub limits: Vec<usize>,
    /// Urgent calls that gates refused for overload.
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

    /// Returns the number of successful requests of all ranks.
    pub fn succeeded(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.succeeded).sum()
    }

    /// Returns the number of requests of all ranks that callers sent.
    pub fn offered(&self) -> u64 {
        self.ranks.iter().map(|rank| rank.offered).sum()
    }

    /// Returns the share of slot time that was spent on requests that did not succeed.
    pub fn wasted_share(&self) -> f64 {
        if self.slot_time_s > 0.0 { self.wasted_slot_time_s / self.slot_time_s } else { 0.0 }
    }

    /// Returns the share of a rank's requests that succeeded; 1.0 if none was sent.
    pub fn success_share(&self, rank: usize) -> f64 {
        let RankStats { offered, succeeded, .. } = self.ranks[rank];
        if offered == 0 { 1.0 } else { succeeded as f64 / offered as f64 }
    }

    /// Returns the seconds from second `end` of virtual time until the first of two consecutive
    /// seconds with at least `level` successful requests each; `None` if there are none.
    pub fn recovery_s(&self, end: usize, level: f64) -> Option<usize> {
        let reaches = |second: usize| {
            self.succeeded_by_second.get(second).is_some_and(|count| *count as f64 >= level)
        };
        let last = self.succeeded_by_second.len();
        (end..last.saturating_sub(2))
            .find(|&second| reaches(second) && reaches(second + 1))
            .map(|second| second - end)
    }
}

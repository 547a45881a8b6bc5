//! A constant limit, the baseline for comparisons.

use crate::{
    gate::{LimitAlgorithm, Sample},
    time::Time,
};

/// A limit that never changes.
#[derive(Debug, Clone)]
pub struct FixedLimit {
    limit: usize,
}

impl FixedLimit {
    /// Creates a limit of `limit` calls, but at least 1.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1) }
    }
}

impl LimitAlgorithm for FixedLimit {
    fn limit(&self) -> usize {
        self.limit
    }

    fn observe(&mut self, _now: Time, _sample: Sample) {}
}

//! A constant limit, the baseline of the comparisons.

use crate::{
    gate::{LimitLaw, Sample},
    time::Time,
};

/// A limit that never changes.
#[derive(Debug, Clone)]
pub struct Fixed {
    limit: usize,
}

impl Fixed {
    /// A constant limit of at least 1.
    pub fn new(limit: usize) -> Self {
        Self { limit: limit.max(1) }
    }
}

impl LimitLaw for Fixed {
    fn limit(&self) -> usize {
        self.limit
    }

    fn observe(&mut self, _now: Time, _sample: Sample) {}
}

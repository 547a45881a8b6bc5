//! Options of the calls of a node.

use crate::{
    engine::Mechanisms,
    gate::{GradientLimit, Limiter},
};

/// Options of [`Calls`](crate::engine::Calls).
#[derive(Debug, Clone)]
pub struct CallOptions {
    pub(crate) limiter: Option<Limiter>,
    pub(crate) divides_capacity: bool,
    pub(crate) enforces_deadlines: bool,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) max_calls: usize,
    pub(crate) ledger_bytes: usize,
    pub(crate) seed: u64,
}

impl Default for CallOptions {
    fn default() -> Self {
        Self {
            limiter: Some(Limiter::Gradient(GradientLimit::default())),
            divides_capacity: true,
            enforces_deadlines: true,
            mechanisms: Mechanisms::default(),
            max_calls: 4096,
            ledger_bytes: 32 << 20,
            seed: 0,
        }
    }
}

impl CallOptions {
    /// Creates options with default values.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit algorithm; `None` sets no concurrency limit.
    #[must_use]
    pub fn limiter(mut self, limiter: impl Into<Option<Limiter>>) -> Self {
        self.limiter = limiter.into();
        self
    }

    /// Sets whether capacity is divided among the ranks before calls enter the queue.
    #[must_use]
    pub fn divides_capacity(mut self, divides_capacity: bool) -> Self {
        self.divides_capacity = divides_capacity;
        self
    }

    /// Sets whether calls that cannot finish in time are refused, and calls ended at their
    /// deadline.
    #[must_use]
    pub fn enforces_deadlines(mut self, enforces_deadlines: bool) -> Self {
        self.enforces_deadlines = enforces_deadlines;
        self
    }

    /// Sets the mechanisms that act across nodes.
    #[must_use]
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Sets the maximum number of calls in progress, queued ones included.
    #[must_use]
    pub fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets the memory for the outcomes of idempotency keys, in bytes.
    #[must_use]
    pub fn ledger_bytes(mut self, bytes: usize) -> Self {
        self.ledger_bytes = bytes;
        self
    }

    /// Sets the seed of the random choices, so that a run can be repeated.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

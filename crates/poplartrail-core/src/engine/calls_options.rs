//! Parameters of the calls of a node.

use crate::{
    engine::Mechanisms,
    gate::{GradientLimit, Limiter},
};

/// Parameters of [`Calls`](crate::engine::Calls).
#[derive(Debug, Clone)]
pub struct CallsOptions {
    pub(crate) law: Option<Limiter>,
    pub(crate) has_shares: bool,
    pub(crate) has_deadlines: bool,
    pub(crate) mechanisms: Mechanisms,
    pub(crate) max_calls: usize,
    pub(crate) ledger_bytes: usize,
    pub(crate) seed: u64,
}

impl Default for CallsOptions {
    fn default() -> Self {
        Self {
            law: Some(Limiter::Gradient(GradientLimit::default())),
            has_shares: true,
            has_deadlines: true,
            mechanisms: Mechanisms::default(),
            max_calls: 4096,
            ledger_bytes: 32 << 20,
            seed: 0,
        }
    }
}

impl CallsOptions {
    /// Starts from the defaults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the law of the limit; `None` admits everything.
    #[must_use]
    pub fn law(mut self, law: impl Into<Option<Limiter>>) -> Self {
        self.law = law.into();
        self
    }

    /// Sets whether capacity is divided among the ranks ahead of the queue.
    #[must_use]
    pub fn has_shares(mut self, has_shares: bool) -> Self {
        self.has_shares = has_shares;
        self
    }

    /// Sets whether calls that cannot finish in time are refused, and late ones ended.
    #[must_use]
    pub fn has_deadlines(mut self, has_deadlines: bool) -> Self {
        self.has_deadlines = has_deadlines;
        self
    }

    /// Sets the mechanisms that act across nodes.
    #[must_use]
    pub fn mechanisms(mut self, mechanisms: Mechanisms) -> Self {
        self.mechanisms = mechanisms;
        self
    }

    /// Sets the number of calls that may be in progress, waiting ones included.
    #[must_use]
    pub fn max_calls(mut self, max_calls: usize) -> Self {
        self.max_calls = max_calls;
        self
    }

    /// Sets the memory for outcomes of keys, in bytes.
    #[must_use]
    pub fn ledger_bytes(mut self, bytes: usize) -> Self {
        self.ledger_bytes = bytes;
        self
    }

    /// Sets the seed of the random choices.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

//! The number of retries that one request may still cause, over its whole call chain.

/// Retries left to a call and everything below it.
///
/// The entry node fixes the number. A call lends a part of it to each child call
/// and gets back what the child did not spend. What a lost answer carried is gone,
/// so the sum over the chain never exceeds the number fixed at entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryBudget(u8);

impl RetryBudget {
    /// A budget of `retries`.
    pub const fn new(retries: u8) -> Self {
        Self(retries)
    }

    /// Retries left.
    pub const fn remaining(self) -> u8 {
        self.0
    }

    /// Takes one retry, or returns `false` if none is left.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        match self.0.checked_sub(1) {
            Some(left) => {
                self.0 = left;
                true
            }
            None => false,
        }
    }

    /// Splits off the larger half for a child call.
    #[must_use]
    pub fn split_for_child(&mut self) -> RetryBudget {
        let lent = self.0.div_ceil(2);
        self.0 -= lent;
        RetryBudget(lent)
    }

    /// Splits off what a send carries: all but one retry, which is kept for a lost answer.
    #[must_use]
    pub fn split_for_send(&mut self) -> RetryBudget {
        let kept = u8::from(self.0 > 1);
        let carried = self.0 - kept;
        self.0 = kept;
        RetryBudget(carried)
    }

    /// Takes back what a child did not spend, never more than was `lent`.
    pub fn reclaim(&mut self, lent: RetryBudget, unspent: RetryBudget) {
        self.0 = self.0.saturating_add(unspent.0.min(lent.0));
    }
}

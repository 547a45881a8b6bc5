//! Number of retries that one request may cause over its whole call chain.

/// Retries that a call and all calls below it may still cause.
///
/// The entry node sets the initial number. A call splits off a part of its budget for each child
/// call and reclaims what the child did not spend. A part whose answer is lost is not reclaimed,
/// so the total over the call chain never exceeds the initial number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RetryBudget(u8);

impl RetryBudget {
    /// Creates a budget of `retries`.
    pub const fn new(retries: u8) -> Self {
        Self(retries)
    }

    /// Returns the number of retries that may still be spent.
    pub const fn remaining(self) -> u8 {
        self.0
    }

    /// Spends one retry, or returns `false` if none is left.
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

    /// Splits off the larger half as the budget of a child call.
    #[must_use]
    pub fn split_for_child(&mut self) -> RetryBudget {
        let child = self.0.div_ceil(2);
        self.0 -= child;
        RetryBudget(child)
    }

    /// Splits off the budget that is sent along with a call: all retries but one, which is kept in
    /// case the answer is lost. A single retry is sent along.
    #[must_use]
    pub fn split_for_send(&mut self) -> RetryBudget {
        let kept = u8::from(self.0 > 1);
        let sent = self.0 - kept;
        self.0 = kept;
        RetryBudget(sent)
    }

    /// Adds back the retries that were `split_off` and came back `unspent`, never more than were
    /// split off.
    pub fn reclaim(&mut self, split_off: RetryBudget, unspent: RetryBudget) {
        self.0 = self.0.saturating_add(unspent.0.min(split_off.0));
    }
}

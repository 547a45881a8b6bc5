//! Limit on the rate of calls that holds for the registered upstream.

use std::time::Duration;

use crate::{
    time::Time,
    upstream::{CallRate, NamedLimit},
};

/// Limit on the rate of calls, as the answers of one incarnation of the upstream have named it.
///
/// Answers overtake each other on their connections. A lower limit therefore holds at once, and a
/// higher one or none only if the upstream has named it to a call that was dispatched after the
/// limit in force was last named.
#[derive(Debug, Clone, Default)]
pub struct CallLimit {
    rate: Option<CallRate>,
    /// Time at which the rate was last named, or its absence last observed.
    stated_at: Option<Time>,
    /// Whether the upstream has stated it to this process, and not to other nodes only.
    is_own: bool,
}

impl CallLimit {
    /// Returns the rate of calls that the upstream takes; `None` if it has named no limit.
    pub fn rate(&self) -> Option<CallRate> {
        self.rate
    }

    /// Returns the time since the upstream last stated the limit in force.
    pub fn age(&self, now: Time) -> Duration {
        self.stated_at.map_or(Duration::ZERO, |at| now.since(at))
    }

    /// Returns whether the limit is known from an answer to this process, and not only from other
    /// nodes.
    pub fn is_own(&self) -> bool {
        self.is_own
    }

    /// Applies a limit that the upstream has named to another node at `stated_at`, and returns
    /// whether the rate changed. What the upstream states to this process goes before it.
    pub fn adopt(&mut self, stated_at: Time, rate: CallRate) -> bool {
        let is_lower = self.rate.is_none_or(|known| rate < known);
        let is_outdated = self
            .stated_at
            .is_some_and(|known| stated_at < known || (stated_at == known && !is_lower));
        if self.is_own || is_outdated {
            return false;
        }
        self.stated_at = Some(stated_at);
        self.rate.replace(rate) != Some(rate)
    }

    /// Applies the limit that an answer to a call dispatched at `dispatched_at` names, and returns
    /// whether the rate changed.
    pub fn observe(&mut self, now: Time, dispatched_at: Time, named: NamedLimit) -> bool {
        let rate = match named {
            NamedLimit::Unreadable => return false,
            NamedLimit::Absent => None,
            NamedLimit::Rate(rate) => Some(rate),
        };
        let is_raised = self.rate.is_some_and(|known| rate.is_none_or(|rate| rate > known));
        if is_raised && self.stated_at.is_some_and(|at| dispatched_at < at) {
            return false;
        }
        self.stated_at = Some(now);
        self.is_own = true;
        std::mem::replace(&mut self.rate, rate) != rate
    }
}

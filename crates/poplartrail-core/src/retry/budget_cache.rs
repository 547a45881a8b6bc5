//! Retry budgets of requests that callers repeat with the same request id.

use std::collections::{HashMap, VecDeque};

use crate::{
    call::{RequestId, RetryBudget},
    time::Time,
};

/// Keeps the remaining retry budgets of recent requests, up to a fixed number of requests.
///
/// A repeat with the id of a known request gets what the request has left of its budget, so a
/// caller's own repeats count against the same bound. A repeat with another id, or through another
/// node, cannot be recognised.
#[derive(Debug)]
pub struct RetryBudgetCache {
    budgets: HashMap<RequestId, Entry>,
    insertion_order: VecDeque<(RequestId, Time)>,
    max_len: usize,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    budget: RetryBudget,
    in_progress: u32,
}

impl RetryBudgetCache {
    /// Creates an empty cache of at most `max_len` requests; the oldest is evicted for a new one.
    pub fn new(max_len: usize) -> Self {
        Self { budgets: HashMap::new(), insertion_order: VecDeque::new(), max_len }
    }

    /// Takes the retry budget for a request that arrives.
    ///
    /// A new request takes all of `full`. A repeat costs one retry and takes what remains of the
    /// budget. Returns `None` if the budget does not allow another repeat.
    pub fn acquire(
        &mut self,
        now: Time,
        request_id: RequestId,
        full: RetryBudget,
    ) -> Option<RetryBudget> {
        if let Some(entry) = self.budgets.get_mut(&request_id) {
            if !entry.budget.spend() {
                return None;
            }
            entry.in_progress += 1;
            return Some(std::mem::take(&mut entry.budget));
        }
        self.evict_oldest();
        self.budgets.insert(request_id, Entry { budget: RetryBudget::new(0), in_progress: 1 });
        self.insertion_order.push_back((request_id, now));
        Some(full)
    }

    /// Puts the unused part of a taken budget back, for later repeats of the request.
    pub fn release(&mut self, request_id: RequestId, unspent: RetryBudget) {
        if let Some(entry) = self.budgets.get_mut(&request_id) {
            entry.in_progress = entry.in_progress.saturating_sub(1);
            entry.budget.reclaim(unspent, unspent);
        }
    }

    /// Evicts requests that first arrived before `oldest`.
    pub fn evict_before(&mut self, oldest: Time) {
        while let Some(&(request_id, at)) = self.insertion_order.front() {
            if at >= oldest {
                break;
            }
            self.insertion_order.pop_front();
            self.budgets.remove(&request_id);
        }
    }

    /// Returns the number of cached requests.
    pub fn len(&self) -> usize {
        self.budgets.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.budgets.is_empty()
    }

    fn evict_oldest(&mut self) {
        while self.budgets.len() >= self.max_len {
            let Some((request_id, _)) = self.insertion_order.pop_front() else { break };
            self.budgets.remove(&request_id);
        }
    }
}

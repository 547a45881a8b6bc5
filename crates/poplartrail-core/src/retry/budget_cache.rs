//! Requests that callers repeat with the same identity.

use std::collections::{HashMap, VecDeque};

use crate::{
    call::{RequestId, RetryBudget},
    time::Time,
};

/// Remembers the retries left to each recent request, within a fixed memory.
///
/// A repeat that carries the identity of a remembered request gets what its earlier tries left,
/// so a caller's own repeats count against the same bound.
/// A repeat under another identity, or through another node, cannot be recognised here.
#[derive(Debug)]
pub struct RetryBudgetCache {
    left: HashMap<RequestId, Entry>,
    order: VecDeque<(RequestId, Time)>,
    max_len: usize,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    budget: RetryBudget,
    open: u32,
}

impl RetryBudgetCache {
    /// A memory of at most `max_len` requests.
    pub fn new(max_len: usize) -> Self {
        Self { left: HashMap::new(), order: VecDeque::new(), max_len }
    }

    /// Takes the retries for a request that begins; `full` is the bound for a new one.
    ///
    /// A first try takes all of `full`. A repeat costs one retry itself and takes the rest;
    /// `None` means that none is left for it.
    pub fn acquire(
        &mut self,
        now: Time,
        request: RequestId,
        full: RetryBudget,
    ) -> Option<RetryBudget> {
        if let Some(entry) = self.left.get_mut(&request) {
            if !entry.budget.spend() {
                return None;
            }
            entry.open += 1;
            return Some(std::mem::take(&mut entry.budget));
        }
        self.make_room();
        self.left.insert(request, Entry { budget: RetryBudget::new(0), open: 1 });
        self.order.push_back((request, now));
        Some(full)
    }

    /// Gives back what a try did not spend.
    pub fn release(&mut self, request: RequestId, unspent: RetryBudget) {
        if let Some(entry) = self.left.get_mut(&request) {
            entry.open = entry.open.saturating_sub(1);
            entry.budget.reclaim(unspent, unspent);
        }
    }

    /// Forgets requests that began before `oldest`.
    pub fn evict_before(&mut self, oldest: Time) {
        while let Some(&(request, at)) = self.order.front() {
            if at >= oldest {
                break;
            }
            self.order.pop_front();
            self.left.remove(&request);
        }
    }

    /// Number of requests remembered.
    pub fn len(&self) -> usize {
        self.left.len()
    }

    /// Whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.left.is_empty()
    }

    fn make_room(&mut self) {
        while self.left.len() >= self.max_len {
            let Some((request, _)) = self.order.pop_front() else { break };
            self.left.remove(&request);
        }
    }
}

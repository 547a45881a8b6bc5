//! A bounded queue ordered by rank.

use std::collections::VecDeque;

use crate::{gate::AdmissionRequest, policy::RankIndex};

/// Queued calls, first in, first out within a rank.
#[derive(Debug)]
pub(crate) struct RankQueue {
    ranks: Vec<VecDeque<AdmissionRequest>>,
    len: usize,
    max_len: usize,
}

impl RankQueue {
    pub(crate) fn new(ranks: usize, max_len: usize) -> Self {
        Self { ranks: (0..ranks).map(|_| VecDeque::new()).collect(), len: 0, max_len }
    }

    pub(crate) fn set_ranks(&mut self, ranks: usize, max_len: usize) {
        self.max_len = max_len;
        let last_rank = ranks - 1;
        let surplus: Vec<_> = self.ranks.drain(ranks.min(self.ranks.len())..).flatten().collect();
        self.ranks.resize_with(ranks, VecDeque::new);
        for mut request in surplus {
            request.rank = RankIndex(last_rank as u8);
            self.ranks[last_rank].push_back(request);
        }
    }

    pub(crate) fn len_of(&self, rank: RankIndex) -> usize {
        self.ranks[rank.index()].len()
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Enqueues `request` and returns the call that is evicted if the queue is full.
    ///
    /// Evicts the newest call of the least urgent rank, or `request` itself if no less urgent call
    /// is queued.
    pub(crate) fn push(&mut self, request: AdmissionRequest) -> Option<AdmissionRequest> {
        let mut evicted = None;
        if self.len >= self.max_len {
            let least_urgent = self.ranks.iter().rposition(|queue| !queue.is_empty());
            match least_urgent {
                Some(rank) if rank > request.rank.index() => {
                    evicted = self.ranks[rank].pop_back();
                    self.len -= 1;
                }
                _ => return Some(request),
            }
        }
        self.ranks[request.rank.index()].push_back(request);
        self.len += 1;
        evicted
    }

    /// Removes and returns the first call of the most urgent rank.
    pub(crate) fn pop(&mut self) -> Option<AdmissionRequest> {
        let first = self.ranks.iter_mut().find_map(VecDeque::pop_front)?;
        self.len -= 1;
        Some(first)
    }

    /// Removes and returns the calls that match `predicate`, which runs once for each call.
    pub(crate) fn extract_if(
        &mut self,
        mut predicate: impl FnMut(&AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut extracted = Vec::new();
        for queue in &mut self.ranks {
            queue.retain(|request| {
                let is_kept = !predicate(request);
                if !is_kept {
                    extracted.push(*request);
                }
                is_kept
            });
        }
        self.len -= extracted.len();
        extracted
    }
}

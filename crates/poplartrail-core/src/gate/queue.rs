//! A bounded queue in the order of the ranks.

use std::collections::VecDeque;

use crate::{gate::AdmissionRequest, policy::RankIndex};

/// Waiting calls, first come first served within a rank.
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
        let last = ranks - 1;
        let surplus: Vec<_> = self.ranks.drain(ranks.min(self.ranks.len())..).flatten().collect();
        self.ranks.resize_with(ranks, VecDeque::new);
        for mut offer in surplus {
            offer.rank = RankIndex(last as u8);
            self.ranks[last].push_back(offer);
        }
    }

    pub(crate) fn len_of(&self, rank: RankIndex) -> usize {
        self.ranks[rank.index()].len()
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    /// Adds `offer`; a full queue gives up the newest call of its least urgent rank,
    /// which is `offer` itself if nothing less urgent waits.
    pub(crate) fn push(&mut self, offer: AdmissionRequest) -> Option<AdmissionRequest> {
        let mut evicted = None;
        if self.len >= self.max_len {
            let last = self.ranks.iter().rposition(|q| !q.is_empty());
            match last {
                Some(rank) if rank > offer.rank.index() => {
                    evicted = self.ranks[rank].pop_back();
                    self.len -= 1;
                }
                _ => return Some(offer),
            }
        }
        self.ranks[offer.rank.index()].push_back(offer);
        self.len += 1;
        evicted
    }

    /// Takes the first call of the most urgent rank.
    pub(crate) fn pop(&mut self) -> Option<AdmissionRequest> {
        let front = self.ranks.iter_mut().find_map(VecDeque::pop_front)?;
        self.len -= 1;
        Some(front)
    }

    /// Takes out every call for which `is_over` holds.
    pub(crate) fn drain_if(
        &mut self,
        mut is_over: impl FnMut(&AdmissionRequest) -> bool,
    ) -> Vec<AdmissionRequest> {
        let mut over = Vec::new();
        for queue in &mut self.ranks {
            queue.retain(|offer| {
                let is_kept = !is_over(offer);
                if !is_kept {
                    over.push(*offer);
                }
                is_kept
            });
        }
        self.len -= over.len();
        over
    }
}

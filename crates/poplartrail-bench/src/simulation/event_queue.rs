//! Future events of a simulation, ordered by virtual time.

use std::{cmp::Ordering, collections::BinaryHeap};

use poplartrail_core::time::Time;

struct Entry<E> {
    at: Time,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// Queue of events ordered by time; events of the same time leave in the order of their insertion.
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Entry<E>>,
    seq: u64,
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { heap: BinaryHeap::new(), seq: 0 }
    }

    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.seq += 1;
        self.heap.push(Entry { at, seq: self.seq, event });
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}

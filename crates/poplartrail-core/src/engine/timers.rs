//! Timers of the calls in progress.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{engine::CallKey, time::Time};

/// Heap of deadlines. Entries of calls that have ended stay until they are due and are then
/// ignored.
#[derive(Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Time, CallKey)>>);

impl Timers {
    pub(crate) fn set(&mut self, at: Time, call: CallKey) {
        self.0.push(Reverse((at, call)));
    }

    pub(crate) fn next(&self) -> Option<Time> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn pop_due(&mut self, now: Time) -> Option<CallKey> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, call))| call)
    }
}

//! Points in time at which calls must be looked at.

use std::{cmp::Reverse, collections::BinaryHeap};

use crate::{engine::CallKey, time::Time};

/// A heap of deadlines; entries of calls that have ended are passed over.
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

//! An upstream with slots, a queue and random service times.

use std::collections::{HashMap, HashSet, VecDeque};

use poplartrail_core::{engine::CallKey, time::Time};

/// A call in the upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: u128,
    /// Services below this one that the request still has to pass.
    pub(crate) below: usize,
    /// When its slot was taken.
    pub(crate) since: Time,
}

/// The state of one fake upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) slots: usize,
    /// Factor on the service time.
    pub(crate) slowness: f64,
    pub(crate) is_dead: bool,
    /// Answers that are lost after the work was done, as a probability.
    pub(crate) loss: f64,
    busy: HashMap<CallKey, Job>,
    queue: VecDeque<(CallKey, Job)>,
    /// Calls that are still in the queue and will be passed over.
    withdrawn: HashSet<CallKey>,
}

impl FakeUpstream {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            slowness: 1.0,
            is_dead: false,
            loss: 0.0,
            busy: HashMap::new(),
            queue: VecDeque::new(),
            withdrawn: HashSet::new(),
        }
    }

    /// Takes a call; returns it if a slot is free and its work begins.
    pub(crate) fn take(&mut self, now: Time, call: CallKey, job: Job) -> bool {
        if self.busy.len() < self.slots {
            self.busy.insert(call, Job { since: now, ..job });
            true
        } else {
            self.queue.push_back((call, job));
            false
        }
    }

    /// The call's job, if it holds a slot.
    pub(crate) fn job(&self, call: CallKey) -> Option<&Job> {
        self.busy.get(&call)
    }

    /// Ends a call and frees its slot; returns the job.
    pub(crate) fn end(&mut self, call: CallKey) -> Option<Job> {
        if let Some(job) = self.busy.remove(&call) {
            return Some(job);
        }
        self.withdrawn.insert(call);
        None
    }

    /// The next waiting call, if a slot is free, which it now holds.
    pub(crate) fn next(&mut self, now: Time) -> Option<CallKey> {
        if self.busy.len() >= self.slots {
            return None;
        }
        loop {
            let (call, job) = self.queue.pop_front()?;
            if !self.withdrawn.remove(&call) {
                self.busy.insert(call, Job { since: now, ..job });
                return Some(call);
            }
        }
    }

    /// Drops everything, as after a kill.
    pub(crate) fn clear(&mut self) -> Vec<CallKey> {
        let mut lost: Vec<CallKey> = self.busy.drain().map(|(call, _)| call).collect();
        lost.extend(self.queue.drain(..).map(|(call, _)| call));
        lost.retain(|call| !self.withdrawn.contains(call));
        self.withdrawn.clear();
        lost.sort();
        lost
    }
}

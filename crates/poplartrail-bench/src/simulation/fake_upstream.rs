//! An upstream with slots, a queue and random service times.

use std::collections::{HashMap, HashSet, VecDeque};

use poplartrail_core::{engine::CallKey, time::Time};

/// A call in the upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: u128,
    /// Services below this one that the request still has to pass.
    pub(crate) remaining_depth: usize,
    /// When its slot was taken.
    pub(crate) started_at: Time,
}

/// The state of one fake upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) slots: usize,
    /// Factor on the service time.
    pub(crate) service_time_factor: f64,
    pub(crate) is_killed: bool,
    /// Answers that are lost after the work was done, as a probability.
    pub(crate) answer_loss: f64,
    running: HashMap<CallKey, Job>,
    queue: VecDeque<(CallKey, Job)>,
    /// Calls that are still in the queue and will be passed over.
    cancelled: HashSet<CallKey>,
}

impl FakeUpstream {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            service_time_factor: 1.0,
            is_killed: false,
            answer_loss: 0.0,
            running: HashMap::new(),
            queue: VecDeque::new(),
            cancelled: HashSet::new(),
        }
    }

    /// Takes a call; returns it if a slot is free and its work begins.
    pub(crate) fn accept(&mut self, now: Time, call: CallKey, job: Job) -> bool {
        if self.running.len() < self.slots {
            self.running.insert(call, Job { started_at: now, ..job });
            true
        } else {
            self.queue.push_back((call, job));
            false
        }
    }

    /// The call's job, if it holds a slot.
    pub(crate) fn job(&self, call: CallKey) -> Option<&Job> {
        self.running.get(&call)
    }

    /// Ends a call and frees its slot; returns the job.
    pub(crate) fn remove(&mut self, call: CallKey) -> Option<Job> {
        if let Some(job) = self.running.remove(&call) {
            return Some(job);
        }
        self.cancelled.insert(call);
        None
    }

    /// The next waiting call, if a slot is free, which it now holds.
    pub(crate) fn dequeue(&mut self, now: Time) -> Option<CallKey> {
        if self.running.len() >= self.slots {
            return None;
        }
        loop {
            let (call, job) = self.queue.pop_front()?;
            if !self.cancelled.remove(&call) {
                self.running.insert(call, Job { started_at: now, ..job });
                return Some(call);
            }
        }
    }

    /// Drops everything, as after a kill.
    pub(crate) fn drop_all(&mut self) -> Vec<CallKey> {
        let mut lost: Vec<CallKey> = self.running.drain().map(|(call, _)| call).collect();
        lost.extend(self.queue.drain(..).map(|(call, _)| call));
        lost.retain(|call| !self.cancelled.contains(call));
        self.cancelled.clear();
        lost.sort();
        lost
    }
}

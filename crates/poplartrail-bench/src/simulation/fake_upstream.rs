//! A simulated upstream with a fixed number of slots and an unbounded queue.

use std::collections::{HashMap, HashSet, VecDeque};

use poplartrail_core::{engine::CallKey, time::Time};

/// A call that the upstream runs or has queued.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Job {
    pub(crate) request: u128,
    /// Number of services further down the chain that the request still has to visit.
    pub(crate) remaining_depth: usize,
    /// When the call took its slot.
    pub(crate) started_at: Time,
}

/// A simulated upstream.
#[derive(Debug)]
pub(crate) struct FakeUpstream {
    pub(crate) slots: usize,
    /// Multiplies the random time that a call takes; 1.0 without a fault.
    pub(crate) service_time_factor: f64,
    pub(crate) is_killed: bool,
    /// Probability that an answer is lost after its work was done.
    pub(crate) answer_loss: f64,
    running: HashMap<CallKey, Job>,
    queue: VecDeque<(CallKey, Job)>,
    /// Cancelled calls that are still in the queue; `dequeue` skips them.
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

    /// Starts a call if a slot is free, else queues it; returns whether the call started.
    pub(crate) fn accept(&mut self, now: Time, call: CallKey, job: Job) -> bool {
        if self.running.len() < self.slots {
            self.running.insert(call, Job { started_at: now, ..job });
            true
        } else {
            self.queue.push_back((call, job));
            false
        }
    }

    /// Returns the job of a running call, or `None` if the call holds no slot.
    pub(crate) fn job(&self, call: CallKey) -> Option<&Job> {
        self.running.get(&call)
    }

    /// Frees the slot of a running call and returns its job, or cancels a queued call.
    pub(crate) fn remove(&mut self, call: CallKey) -> Option<Job> {
        if let Some(job) = self.running.remove(&call) {
            return Some(job);
        }
        self.cancelled.insert(call);
        None
    }

    /// Moves the oldest queued call into a free slot and returns it.
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

    /// Drops all running and queued calls, as a kill does, and returns them sorted by key.
    pub(crate) fn drop_all(&mut self) -> Vec<CallKey> {
        let mut lost: Vec<CallKey> = self.running.drain().map(|(call, _)| call).collect();
        lost.extend(self.queue.drain(..).map(|(call, _)| call));
        lost.retain(|call| !self.cancelled.contains(call));
        self.cancelled.clear();
        lost.sort();
        lost
    }
}

//! Callers outside the fleet and the requests that they send.

use std::time::Duration;

use poplartrail_core::time::Time;

/// Kind of request that a load sends.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Index of the rank in the simulation's ranks, 0 being the first.
    pub rank: usize,
    /// Number of services of the chain that the request visits, starting at the entry.
    pub depth: usize,
}

/// Whether callers repeat a request that did not succeed within its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Callers do not repeat requests.
    None,
    /// Callers repeat the request under a new request id, up to this many times.
    NewRequestId(u32),
    /// Callers repeat the request under the same request id, up to this many times.
    SameRequestId(u32),
}

/// An offered load: a Poisson stream of requests of one kind.
#[derive(Debug, Clone)]
pub struct Load {
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Mean number of requests per second, repeats not included.
    pub rate_per_s: f64,
    /// Virtual time at which the stream starts.
    pub from: Time,
    /// Virtual time after which no new request is sent; repeats may follow.
    pub until: Time,
    /// Whether callers repeat unsuccessful requests.
    pub repeat_policy: RepeatPolicy,
    /// Time that a caller waits before it repeats a request.
    pub repeat_delay: Duration,
}

impl Load {
    /// Creates a load of requests that callers do not repeat.
    pub fn new(rank: usize, depth: usize, rate_per_s: f64, from: Time, until: Time) -> Self {
        Self {
            kind: RequestKind { rank, depth },
            rate_per_s,
            from,
            until,
            repeat_policy: RepeatPolicy::None,
            repeat_delay: Duration::from_millis(100),
        }
    }

    /// Sets whether callers repeat unsuccessful requests.
    #[must_use]
    pub fn repeat_policy(mut self, repeat_policy: RepeatPolicy) -> Self {
        self.repeat_policy = repeat_policy;
        self
    }
}

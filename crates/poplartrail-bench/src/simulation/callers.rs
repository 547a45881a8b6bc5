//! Callers and what they send.

use std::time::Duration;

use poplartrail_core::time::Time;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// Position of its rank.
    pub rank: usize,
    /// Number of services that its chain passes.
    pub depth: usize,
}

/// How callers repeat requests that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// They do not.
    None,
    /// They send it again as a new request, up to this many times.
    NewRequestId(u32),
    /// They send it again with the same identity, up to this many times.
    SameRequestId(u32),
}

/// A stream of requests of one kind.
#[derive(Debug, Clone)]
pub struct Load {
    /// What is sent.
    pub kind: RequestKind,
    /// Requests a second, sent at random times.
    pub rate_per_s: f64,
    /// When it begins.
    pub from: Time,
    /// When it ends.
    pub until: Time,
    /// How failures are repeated.
    pub repeat_policy: RepeatPolicy,
    /// Pause before a repeat.
    pub repeat_delay: Duration,
}

impl Load {
    /// A stream of requests that are not repeated.
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

    /// Sets how failures are repeated.
    #[must_use]
    pub fn repeat_policy(mut self, repeat_policy: RepeatPolicy) -> Self {
        self.repeat_policy = repeat_policy;
        self
    }
}

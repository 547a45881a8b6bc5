//! Callers and what they send.

use std::time::Duration;

use poplartrail_core::time::Time;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Position of its rank.
    pub rank: usize,
    /// Number of services that its chain passes.
    pub depth: usize,
}

/// How callers repeat requests that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Repeats {
    /// They do not.
    None,
    /// They send it again as a new request, up to this many times.
    Fresh(u32),
    /// They send it again with the same identity, up to this many times.
    Same(u32),
}

/// A stream of requests of one kind.
#[derive(Debug, Clone)]
pub struct Load {
    /// What is sent.
    pub kind: Kind,
    /// Requests a second, sent at random times.
    pub rate: f64,
    /// When it begins.
    pub from: Time,
    /// When it ends.
    pub until: Time,
    /// How failures are repeated.
    pub repeats: Repeats,
    /// Pause before a repeat.
    pub pause: Duration,
}

impl Load {
    /// A stream of requests that are not repeated.
    pub fn new(rank: usize, depth: usize, rate: f64, from: Time, until: Time) -> Self {
        Self {
            kind: Kind { rank, depth },
            rate,
            from,
            until,
            repeats: Repeats::None,
            pause: Duration::from_millis(100),
        }
    }

    /// Sets how failures are repeated.
    #[must_use]
    pub fn repeats(mut self, repeats: Repeats) -> Self {
        self.repeats = repeats;
        self
    }
}

//! What an upstream says of itself in an answer.

use crate::upstream::CallRate;

/// Limit that an answer names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NamedLimit {
    /// The answer names no limit, so that an earlier one no longer holds.
    Absent,
    /// The answer names a limit that cannot be read, so that an earlier one goes on to hold.
    Unreadable,
    /// Calls that the upstream takes from all nodes together.
    Rate(CallRate),
}

/// State of an upstream, as one of its answers states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamNotice {
    /// Limit on the rate of calls.
    pub limit: NamedLimit,
    /// Whether the upstream is about to exit and takes no new work.
    pub is_leaving: bool,
}

//! Bounds on what a caller may send, and how long it may take.

use std::time::Duration;

/// Bounds on the connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a begun request must be received whole.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Bounds that hold until the operators have stated theirs; wide enough for any of them.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

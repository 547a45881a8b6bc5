//! Limits on the size of callers' requests and on the time to send them.

use std::time::Duration;

/// Limits on the connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request that has begun must be received completely.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    /// Returns the limits that hold until a site configuration arrives, wide enough for any that
    /// operators may set.
    fn default() -> Self {
        Self {
            max_header_bytes: 64 << 10,
            max_body_bytes: 64 << 20,
            header_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

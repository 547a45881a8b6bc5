//! Identity of one start of an upstream.

use crate::{names::InstanceName, time::WallTime};

/// One incarnation of an upstream: a process, from its start to its exit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamIncarnation {
    /// Name of the instance; it may stay the same after a restart.
    pub instance: InstanceName,
    /// Time at which the instance started, by its own clock, or the time of its deregistration if
    /// the start is unknown.
    pub started_at: WallTime,
}

//! Behaviour of the stand-in upstream.

use serde::{Deserialize, Serialize};

/// Behaviour that a test can replace while the upstream runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Self time of a call, in microseconds: without the time of its call to the next service.
    pub work_us: u64,
    /// Number of calls that the upstream works on at once, fixed when it starts. The load endpoint
    /// states the present value of this field.
    pub slots: usize,
    /// Number of slots that the load endpoint states in place of `slots`.
    pub stated_slots: Option<usize>,
    /// Number of further calls that run while their answers are withheld, as if they were lost.
    pub lost_answers: u32,
    /// Status with which every call is answered without being run.
    pub status: Option<u16>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { work_us: 1_000, slots: 100, stated_slots: None, lost_answers: 0, status: None }
    }
}

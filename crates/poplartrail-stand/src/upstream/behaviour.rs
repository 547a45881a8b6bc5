//! How the upstream behaves at present.

use serde::{Deserialize, Serialize};

/// Settings that a test can change while the upstream runs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Behaviour {
    /// Own work of a call, in microseconds.
    pub work_us: u64,
    /// Calls that are worked on at once.
    pub slots: usize,
    /// Slots that the load endpoint states, if it does not tell the truth.
    pub stated_slots: Option<usize>,
    /// Run the action and lose the answer, this many times.
    pub lost_answers: u32,
    /// Answer with this status without doing anything.
    pub status: Option<u16>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self { work_us: 1_000, slots: 100, stated_slots: None, lost_answers: 0, status: None }
    }
}

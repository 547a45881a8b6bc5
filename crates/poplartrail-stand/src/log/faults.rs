//! Faults that a test switches on.

use serde::{Deserialize, Serialize};

/// What the log does wrong at present.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// No request is answered and nothing is appended.
    pub is_down: bool,
    /// Appends take effect, and their answers are lost, this many times.
    pub lost_answers: u32,
    /// Every request takes this much longer.
    pub delay_ms: u64,
}

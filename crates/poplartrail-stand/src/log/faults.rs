//! Faults of the stand-in log that a test switches on.

use serde::{Deserialize, Serialize};

/// Faults in force, replaced as a whole by `POST /control`.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether the log is down: nothing is read or appended, and responses are withheld.
    pub is_down: bool,
    /// Number of further appends that take effect while their responses are withheld.
    pub lost_answers: u32,
    /// Delay of every request, in milliseconds.
    pub delay_ms: u64,
}

//! What truly ran.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Counts since the start.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls that ran to their end.
    pub ran: u64,
    /// Calls that were received.
    pub received: u64,
    /// Calls whose other end left before the end.
    pub cancelled: u64,
    /// Runs of each key.
    pub keys: HashMap<String, u32>,
    /// Runs of each rank.
    pub ranks: HashMap<String, u64>,
    /// Names of the header fields of the last call that was received.
    pub last_fields: Vec<String>,
}

//! Counts of the calls that reached the stand-in upstream.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Counts since the start of the upstream.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Calls whose own work was completed, whether or not their answer was lost.
    pub ran: u64,
    /// Calls that were received, whether or not they ran.
    pub received: u64,
    /// Calls that were cancelled because the node closed the connection before the answer.
    pub cancelled: u64,
    /// Number of runs of each idempotency key.
    pub keys: HashMap<String, u32>,
    /// Number of runs of each rank.
    pub ranks: HashMap<String, u64>,
    /// Names of the header fields of the newest call.
    pub last_fields: Vec<String>,
}

//! TOML schema of the base file.

use serde::{Deserialize, Serialize};

use crate::SettingsError;

/// One `[[rank]]` entry; an overlay sets only the fields that differ from the base file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankEntry {
    /// Name by which callers select the rank.
    pub name: String,
    /// Target time for answering a whole request, in milliseconds; required in the base file.
    pub target_ms: Option<u64>,
    /// Weight of the rank in the division of the capacity that urgent ranks leave over; required
    /// in the base file.
    pub worth: Option<f64>,
    /// Whether the rank is shed only after all ranks that are not urgent; `false` if absent.
    pub urgent: Option<bool>,
}

/// One `[[service]]` entry; an overlay sets only the fields that differ from the base file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Name of the service in the call graph.
    pub name: String,
    /// Number of key slots, the leased parts of the key space, in each availability zone; 8 if
    /// absent.
    pub key_slots: Option<u16>,
    /// Services that this service is known to call.
    pub calls: Option<Vec<String>>,
}

/// The `[bounds]` table; absent fields take their defaults.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsTable {
    /// Maximum number of retries that one whole request may cause.
    pub retries_per_request: Option<u8>,
    /// Maximum number of retries that a node may add, as a fraction of its calls.
    pub retry_ratio: Option<f64>,
    /// Maximum number of entries in the queue of a gate.
    pub queue_len: Option<usize>,
    /// Maximum length of a call chain.
    pub max_depth: Option<u8>,
    /// Interval at which gates update their shares, in milliseconds.
    pub interval_ms: Option<u64>,
    /// Time for which the outcome of an idempotency key is kept, in seconds.
    pub key_window_s: Option<u64>,
    /// Maximum clock skew tolerated in the timestamps of idempotency keys, in milliseconds.
    pub clock_skew_ms: Option<u64>,
    /// Duration of the lease of a key slot, in seconds.
    pub lease_s: Option<u64>,
}

/// The base file: configuration that applies to every site unless its overlay changes it.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BaseDocument {
    /// Ranks, most urgent first; at least one is required.
    #[serde(default)]
    pub rank: Vec<RankEntry>,
    /// All services of the call graph.
    #[serde(default)]
    pub service: Vec<ServiceEntry>,
    /// Availability zones over which idempotency keys are distributed.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bounds on retries, queues, call chains and keys, applied by every node.
    #[serde(default)]
    pub bounds: BoundsTable,
}

impl BaseDocument {
    /// Parses the text of the base file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text)
            .map_err(|err| SettingsError::Syntax("base file".to_owned(), err.to_string()))
    }
}

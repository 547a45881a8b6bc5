//! The form of the base file.

use serde::{Deserialize, Serialize};

use crate::SettingsError;

/// Fields of a rank; in an overlay only those that differ.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankPart {
    /// Name that callers state.
    pub name: String,
    /// Time within which a whole request is to be answered, in milliseconds.
    pub target_ms: Option<u64>,
    /// Weight in the division of what the urgent ranks leave.
    pub worth: Option<f64>,
    /// Whether the rank is shed only after every rank that is not urgent.
    pub urgent: Option<bool>,
}

/// Fields of a service.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePart {
    /// Name of the service.
    pub name: String,
    /// Number of slots in each availability zone over which keys are divided.
    pub key_slots: Option<u16>,
    /// Services that it is known to call.
    pub calls: Option<Vec<String>>,
}

/// Bounds; those that are not stated keep their defaults.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoundsPart {
    /// Retries that one whole request may cause.
    pub retries_per_request: Option<u8>,
    /// Retries that a node may add, as a fraction of its calls.
    pub retry_ratio: Option<f64>,
    /// Entries in a gate's queue.
    pub queue_len: Option<usize>,
    /// Longest call chain.
    pub max_depth: Option<u8>,
    /// Time between two decisions on shares, in milliseconds.
    pub interval_ms: Option<u64>,
    /// Time for which the outcome of a key is kept, in seconds.
    pub key_window_s: Option<u64>,
    /// Greatest difference between two clocks that keys may show, in milliseconds.
    pub clock_skew_ms: Option<u64>,
    /// Time for which a slot of keys is leased, in seconds.
    pub lease_s: Option<u64>,
}

/// The base file: what holds at every site.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BaseDocument {
    /// Ranks, most urgent first.
    #[serde(default)]
    pub rank: Vec<RankPart>,
    /// Services of the call graph.
    #[serde(default)]
    pub service: Vec<ServicePart>,
    /// Availability zones among which keys are divided.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Bounds that every node keeps.
    #[serde(default)]
    pub bounds: BoundsPart,
}

impl BaseDocument {
    /// Reads the base file.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text)
            .map_err(|err| SettingsError::Syntax("base file".to_owned(), err.to_string()))
    }
}

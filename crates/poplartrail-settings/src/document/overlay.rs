//! TOML schema of a site overlay.

use serde::{Deserialize, Serialize};

use crate::{
    SettingsError,
    document::{BoundsTable, RankEntry, ServiceEntry},
};

/// The overlay of one site: values that replace those of the base file.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverlayDocument {
    /// Changed fields of ranks that the base file lists.
    #[serde(default)]
    pub rank: Vec<RankEntry>,
    /// Changed fields of services that the base file lists.
    #[serde(default)]
    pub service: Vec<ServiceEntry>,
    /// Availability zones that replace the list of the base file.
    pub zones: Option<Vec<String>>,
    /// Changed bounds.
    #[serde(default)]
    pub bounds: BoundsTable,
}

impl OverlayDocument {
    /// Parses the text of the overlay of `site`.
    pub fn parse(site: &str, text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(format!("overlay {site}"), err.to_string()))
    }
}

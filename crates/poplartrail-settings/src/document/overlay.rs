//! The form of a site overlay.

use serde::{Deserialize, Serialize};

use crate::{
    SettingsError,
    document::{BoundsPart, RankPart, ServicePart},
};

/// What differs at one site.
#[derive(Debug, Clone, Default, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OverlayDocument {
    /// Ranks whose fields differ.
    #[serde(default)]
    pub rank: Vec<RankPart>,
    /// Services whose fields differ.
    #[serde(default)]
    pub service: Vec<ServicePart>,
    /// Availability zones of the site, if they differ.
    pub zones: Option<Vec<String>>,
    /// Bounds that differ.
    #[serde(default)]
    pub bounds: BoundsPart,
}

impl OverlayDocument {
    /// Reads the overlay of `site`.
    pub fn parse(site: &str, text: &str) -> Result<Self, SettingsError> {
        toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(format!("overlay {site}"), err.to_string()))
    }
}

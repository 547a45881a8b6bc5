//! Validation of configuration documents, which every node runs before a change takes effect.

use std::{collections::BTreeMap, fmt, sync::Arc};

use poplartrail_core::{
    config::{Document, DocumentCheck, DocumentId},
    engine::{ClusterState, PolicySource},
    names::SiteName,
    policy::Policy,
};

use crate::{
    SettingsError,
    document::{BaseDocument, OverlayDocument, merge, redundant_fields},
};

/// Name used in error messages for sites that have no overlay.
const NO_OVERLAY: &str = "(none)";

/// Documents in force, by identity.
type Documents = BTreeMap<DocumentId, Document>;

/// An overlay field that is valid but redundant, which is probably a mistake.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// Site that the overlay belongs to.
    pub site: String,
    /// Field set to the value that the base file already has, such as `rank "bulk" worth`.
    pub field: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Warning { site, field } = self;
        write!(f, "overlay {site}: {field} repeats the base file: remove it from the overlay")
    }
}

/// Validates configuration documents and builds the policy of one site from them.
#[derive(Debug, Clone)]
pub struct SitePolicySource {
    site: SiteName,
}

impl SitePolicySource {
    /// Creates a source of the policy of `site`.
    pub fn new(site: SiteName) -> Self {
        Self { site }
    }

    /// Validates the base file and every overlay, and returns the redundant fields of overlays.
    pub fn check_all(texts: &BTreeMap<DocumentId, &str>) -> Result<Vec<Warning>, SettingsError> {
        let base = BaseDocument::parse(texts.get(&DocumentId::Base).copied().unwrap_or(""))?;
        merge(&base, NO_OVERLAY, &OverlayDocument::default())?;
        let mut warnings = Vec::new();
        for (id, text) in texts {
            let DocumentId::Overlay(site) = id else { continue };
            let overlay = OverlayDocument::parse(site.as_str(), text)?;
            merge(&base, site.as_str(), &overlay)?;
            let fields = redundant_fields(&base, &overlay).into_iter();
            warnings.extend(fields.map(|field| Warning { site: site.to_string(), field }));
        }
        Ok(warnings)
    }

    /// Builds the policy of `site` from the documents in force.
    ///
    /// Returns `None` if there is no base file.
    pub fn policy_of(
        site: &SiteName,
        documents: &BTreeMap<DocumentId, Document>,
    ) -> Option<Result<Policy, SettingsError>> {
        let overlay = documents.get(&DocumentId::Overlay(site.clone()));
        let base = BaseDocument::parse(text_of(documents, &DocumentId::Base)?);
        Some(base.and_then(|base| site_policy(&base, site.as_str(), overlay)))
    }
}

/// Builds the policy of `site`; without an overlay it follows from the base file alone.
fn site_policy(
    base: &BaseDocument,
    site: &str,
    overlay: Option<&Document>,
) -> Result<Policy, SettingsError> {
    let overlay = match overlay {
        Some(document) => OverlayDocument::parse(site, &document.text)?,
        None => OverlayDocument::default(),
    };
    merge(base, site, &overlay)
}

/// Returns an error if the change from `before` to `after` would move keys in use to other homes.
fn check_homes_unchanged(before: &Policy, after: &Policy, site: &str) -> Result<(), SettingsError> {
    if !before.zones.is_empty() && before.zones != after.zones {
        return Err(SettingsError::KeysWouldMove(format!("the list of zones of {site}")));
    }
    for rule in &before.services {
        let is_same = after.service(&rule.name).is_none_or(|new| new.key_slots == rule.key_slots);
        if !is_same {
            return Err(SettingsError::KeysWouldMove(format!("key_slots of {:?}", rule.name)));
        }
    }
    Ok(())
}

/// Validates the sites whose documents differ between `before`, which was valid, and `after`.
///
/// Every node runs this for each change that it reads from the log, so sites that the change
/// cannot affect are skipped.
fn check_sites(before: &Documents, after: &Documents) -> Result<(), SettingsError> {
    let base = BaseDocument::parse(text_of(after, &DocumentId::Base).unwrap_or(""))?;
    let is_base_changed = is_changed(&DocumentId::Base, before, after);
    let replaced = text_of(before, &DocumentId::Base).filter(|_| is_base_changed);
    let replaced = replaced.and_then(|text| BaseDocument::parse(text).ok());
    let old_base = if is_base_changed { replaced.as_ref() } else { Some(&base) };
    for id in after.keys().filter(|id| is_base_changed || is_changed(id, before, after)) {
        // The base file alone gives the policy of a site without an overlay.
        let site = match id {
            DocumentId::Base => NO_OVERLAY,
            DocumentId::Overlay(site) => site.as_str(),
        };
        let new = site_policy(&base, site, overlay_of(after, id))?;
        let old = old_base.map(|old| site_policy(old, site, overlay_of(before, id)));
        if let Some(Ok(old)) = old {
            check_homes_unchanged(&old, &new, site)?;
        }
    }
    Ok(())
}

fn overlay_of<'a>(documents: &'a Documents, id: &DocumentId) -> Option<&'a Document> {
    documents.get(id).filter(|_| *id != DocumentId::Base)
}

fn text_of<'a>(documents: &'a Documents, id: &DocumentId) -> Option<&'a str> {
    documents.get(id).map(|document| &*document.text)
}

fn is_changed(id: &DocumentId, before: &Documents, after: &Documents) -> bool {
    text_of(before, id) != text_of(after, id)
}

impl DocumentCheck for SitePolicySource {
    fn check(&self, before: &Documents, after: &Documents) -> Result<(), Arc<str>> {
        check_sites(before, after).map_err(|err| Arc::from(err.to_string()))
    }
}

impl PolicySource for SitePolicySource {
    fn policy(&self, state: &ClusterState) -> Option<Policy> {
        Self::policy_of(&self.site, state.history().documents())?.ok()
    }
}

//! The check that every node repeats before a change takes effect.

use std::{collections::BTreeMap, fmt, sync::Arc};

use poplartrail_core::{
    config::{Document, DocumentCheck, DocumentId},
    engine::{ClusterState, PolicySource},
    names::SiteName,
    policy::Policy,
};

use crate::{
    SettingsError,
    document::{BaseDocument, OverlayDocument, merge, repeats},
};

/// Stands for the name of a site without an overlay.
const NO_OVERLAY: &str = "(none)";

/// The documents in force, by their names.
type Documents = BTreeMap<DocumentId, Document>;

/// Something that is allowed and probably not meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Warning {
    /// Site of the overlay.
    pub site: String,
    /// Field that repeats the base file.
    pub field: String,
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Warning { site, field } = self;
        write!(f, "overlay {site}: {field} repeats the base file: remove it from the overlay")
    }
}

/// The base file with its overlays, as texts, seen from one site.
#[derive(Debug, Clone)]
pub struct SitePolicySource {
    site: SiteName,
}

impl SitePolicySource {
    /// Documents seen from `site`.
    pub fn new(site: SiteName) -> Self {
        Self { site }
    }

    /// Checks all overlays over the base file, and lists what an overlay repeats.
    pub fn check_all(texts: &BTreeMap<DocumentId, &str>) -> Result<Vec<Warning>, SettingsError> {
        let base = BaseDocument::parse(texts.get(&DocumentId::Base).copied().unwrap_or(""))?;
        merge(&base, NO_OVERLAY, &OverlayDocument::default())?;
        let mut warnings = Vec::new();
        for (id, text) in texts {
            let DocumentId::Overlay(site) = id else { continue };
            let overlay = OverlayDocument::parse(site.as_str(), text)?;
            merge(&base, site.as_str(), &overlay)?;
            let fields = repeats(&base, &overlay).into_iter();
            warnings.extend(fields.map(|field| Warning { site: site.to_string(), field }));
        }
        Ok(warnings)
    }

    /// The policy of `site`, from the texts in force.
    pub fn policy_of(
        site: &SiteName,
        documents: &BTreeMap<DocumentId, Document>,
    ) -> Option<Result<Policy, SettingsError>> {
        let overlay = documents.get(&DocumentId::Overlay(site.clone()));
        let base = BaseDocument::parse(text_of(documents, &DocumentId::Base)?);
        Some(base.and_then(|base| site_policy(&base, site.as_str(), overlay)))
    }
}

/// The policy of `site`; one without an overlay follows the base file alone.
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

/// Refuses a change that would move keys in use to other homes.
fn check_homes(before: &Policy, after: &Policy, site: &str) -> Result<(), SettingsError> {
    if !before.zones.is_empty() && before.zones != after.zones {
        return Err(SettingsError::KeysWouldMove(format!("the list of zones of {site}")));
    }
    for rule in &before.services {
        let same = after.service(&rule.name).is_none_or(|new| new.key_slots == rule.key_slots);
        if !same {
            return Err(SettingsError::KeysWouldMove(format!("key_slots of {:?}", rule.name)));
        }
    }
    Ok(())
}

/// Checks the sites that differ between `before`, which was found valid, and `after`.
///
/// Every node repeats this for each change of the log that it reads, so what cannot have changed
/// is not looked at again.
fn check_sites(before: &Documents, after: &Documents) -> Result<(), SettingsError> {
    let base = BaseDocument::parse(text_of(after, &DocumentId::Base).unwrap_or(""))?;
    let is_base_new = is_changed(&DocumentId::Base, before, after);
    let replaced = text_of(before, &DocumentId::Base).filter(|_| is_base_new);
    let replaced = replaced.and_then(|text| BaseDocument::parse(text).ok());
    let old_base = if is_base_new { replaced.as_ref() } else { Some(&base) };
    for id in after.keys().filter(|id| is_base_new || is_changed(id, before, after)) {
        // The base file is itself what a site without an overlay follows.
        let site = match id {
            DocumentId::Base => NO_OVERLAY,
            DocumentId::Overlay(site) => site.as_str(),
        };
        let new = site_policy(&base, site, overlay_of(after, id))?;
        let old = old_base.map(|old| site_policy(old, site, overlay_of(before, id)));
        if let Some(Ok(old)) = old {
            check_homes(&old, &new, site)?;
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
    fn policy(&self, keeper: &ClusterState) -> Option<Policy> {
        Self::policy_of(&self.site, keeper.history().documents())?.ok()
    }
}

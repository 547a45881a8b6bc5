//! The check that every node repeats before a change takes effect.

use std::{collections::BTreeMap, fmt, sync::Arc};

use poplartrail_core::{
    config::{Document, DocumentCheck, DocumentId},
    engine::{Keeper, PolicySource},
    names::SiteName,
    policy::Policy,
};

use crate::{
    SettingsError,
    document::{BaseDocument, OverlayDocument, merge, repeats},
};

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
pub struct SiteDocuments {
    site: SiteName,
}

impl SiteDocuments {
    /// Documents seen from `site`.
    pub fn new(site: SiteName) -> Self {
        Self { site }
    }

    /// Checks all overlays over the base file, and lists what an overlay repeats.
    pub fn check_all(texts: &BTreeMap<DocumentId, &str>) -> Result<Vec<Warning>, SettingsError> {
        let base = BaseDocument::parse(texts.get(&DocumentId::Base).copied().unwrap_or(""))?;
        merge(&base, "(none)", &OverlayDocument::default())?;
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
        let base = documents.get(&DocumentId::Base)?;
        let overlay = documents.get(&DocumentId::Overlay(site.clone()));
        let policy = || {
            let base = BaseDocument::parse(&base.text)?;
            let overlay = match overlay {
                Some(document) => OverlayDocument::parse(site.as_str(), &document.text)?,
                None => OverlayDocument::default(),
            };
            merge(&base, site.as_str(), &overlay)
        };
        Some(policy())
    }
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

fn check_sites(
    before: &BTreeMap<DocumentId, Document>,
    after: &BTreeMap<DocumentId, Document>,
) -> Result<(), SettingsError> {
    let texts = after.iter().map(|(id, d)| (id.clone(), &*d.text)).collect();
    SiteDocuments::check_all(&texts)?;
    // A site without an overlay of its own follows the base file alone.
    let no_overlay = SiteName::new("any").expect("the constant is a valid name");
    let overlays = after.keys().filter_map(|id| match id {
        DocumentId::Overlay(site) => Some(site),
        DocumentId::Base => None,
    });
    for site in overlays.chain([&no_overlay]) {
        let old = SiteDocuments::policy_of(site, before);
        let new = SiteDocuments::policy_of(site, after);
        if let (Some(Ok(old)), Some(Ok(new))) = (old, new) {
            check_homes(&old, &new, site.as_str())?;
        }
    }
    Ok(())
}

impl DocumentCheck for SiteDocuments {
    fn check(
        &self,
        before: &BTreeMap<DocumentId, Document>,
        after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>> {
        check_sites(before, after).map_err(|err| Arc::from(err.to_string()))
    }
}

impl PolicySource for SiteDocuments {
    fn policy(&self, keeper: &Keeper) -> Option<Policy> {
        Self::policy_of(&self.site, keeper.history().documents())?.ok()
    }
}

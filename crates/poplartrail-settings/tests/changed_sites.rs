//! Checks of a configuration change: which sites they cover, and changes that would move keys.

use std::{collections::BTreeMap, sync::Arc};

use poplartrail_core::{
    config::{ChangeId, Document, DocumentCheck, DocumentId},
    names::{OperatorName, SiteName},
};
use poplartrail_settings::document::SitePolicySource;

type Documents = BTreeMap<DocumentId, Document>;

const BASE: &str = include_str!("../../../examples/mekong/base.toml");

fn site(name: &str) -> SiteName {
    SiteName::new(name).unwrap()
}

fn overlay_of(name: &str) -> DocumentId {
    DocumentId::Overlay(site(name))
}

fn with(documents: &Documents, id: DocumentId, text: &str) -> Documents {
    let document = Document {
        version: 1,
        change: ChangeId(1),
        author: OperatorName::new("tester").unwrap(),
        text: Arc::from(text),
    };
    let mut documents = documents.clone();
    documents.insert(id, document);
    documents
}

fn base() -> Documents {
    with(&BTreeMap::new(), DocumentId::Base, BASE)
}

fn check(before: &Documents, after: &Documents) -> Result<(), Arc<str>> {
    SitePolicySource::new(site("north")).check(before, after)
}

#[test]
fn overlay_affects_own_site() {
    let broken = with(&base(), overlay_of("south"), "no_such = 1\n");
    let valid = "[[rank]]\nname = \"swap\"\nworth = 31.0\n";
    assert_eq!(check(&broken, &with(&broken, overlay_of("north"), valid)), Ok(()));
    let err = check(&broken, &with(&broken, overlay_of("north"), "no_such = 1\n"));
    assert!(err.is_err_and(|err| err.contains("no_such")));
}

#[test]
fn base_affects_every_site() {
    let before = with(&base(), overlay_of("south"), "[[rank]]\nname = \"swap\"\nworth = 31.0\n");
    let without = BASE.replace("name = \"swap\"", "name = \"swaps\"");
    let err = check(&before, &with(&before, DocumentId::Base, &without));
    assert!(err.is_err_and(|err| err.contains("not in the base file")));
}

#[test]
fn keys_keep_their_homes() {
    let before = with(&base(), overlay_of("south"), "zones = [\"a\", \"b\"]\n");
    let moved = with(&before, overlay_of("south"), "zones = [\"a\", \"c\"]\n");
    assert!(check(&before, &moved).is_err_and(|err| err.contains("keys in use")));
    let slots = BASE.replace("name = \"stock\"\n", "name = \"stock\"\nkey_slots = 7\n");
    let moved = with(&before, DocumentId::Base, &slots);
    assert!(check(&before, &moved).is_err_and(|err| err.contains("key_slots")));
}

#[test]
fn overlay_needs_a_base() {
    let nothing = BTreeMap::new();
    for text in ["", "zones = [\"a\"]\n"] {
        assert!(check(&nothing, &with(&nothing, overlay_of("south"), text)).is_err(), "{text:?}");
    }
}

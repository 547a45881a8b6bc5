//! Base file and overlays: the shipped examples, redundant fields and invalid values.

use std::collections::BTreeMap;

use poplartrail_core::{config::DocumentId, names::SiteName};
use poplartrail_settings::{SettingsError, document::SitePolicySource};
use test_case::test_case;

const MEKONG: &str = include_str!("../../../examples/mekong/base.toml");
const VN_SOUTH: &str = include_str!("../../../examples/mekong/vn-south.toml");
const MATAI: &str = include_str!("../../../examples/matai/base.toml");
const IE_MIDLANDS: &str = include_str!("../../../examples/matai/ie-midlands.toml");

fn check(base: &str, overlay: &str) -> Result<Vec<String>, SettingsError> {
    let overlay_id = DocumentId::Overlay(SiteName::new("site").unwrap());
    let texts = BTreeMap::from([(DocumentId::Base, base), (overlay_id, overlay)]);
    let warnings = SitePolicySource::check_all(&texts)?;
    Ok(warnings.into_iter().map(|warning| warning.field).collect())
}

#[test_case(MEKONG, VN_SOUTH; "vn south")]
#[test_case(MATAI, IE_MIDLANDS; "ie midlands")]
fn examples_are_valid(base: &str, overlay: &str) {
    assert_eq!(check(base, overlay), Ok(Vec::new()));
}

#[test]
fn redundant_field_is_reported() {
    let overlay = "[[rank]]\nname = \"swap\"\nworth = 30.0\n";
    assert_eq!(check(MEKONG, overlay), Ok(vec!["rank \"swap\" worth".to_owned()]));
}

#[test_case("[bounds]\nlease_s = 0\n", "bounds.lease_s"; "lease")]
#[test_case("[bounds]\nretry_ratio = 2.0\n", "bounds.retry_ratio"; "ratio")]
#[test_case("[bounds]\nqueue_len = 0\n", "bounds.queue_len"; "queue")]
#[test_case("[bounds]\nno_such = 1\n", "no_such"; "unknown field")]
#[test_case("[[rank]]\nname = \"swap\"\nworth = -1.0\n", "rank.worth"; "worth")]
#[test_case("[[rank]]\nname = \"swap\"\nworth = \"much\"\n", "worth"; "wrong type")]
#[test_case("[[rank]]\nname = \"nobody\"\nworth = 1.0\n", "not in the base file"; "unknown rank")]
#[test_case("zones = [\"a\", \"a\"]\n", "listed twice"; "zone twice")]
fn error_names_remedy(overlay: &str, remedy: &str) {
    let err = check(MEKONG, overlay).expect_err("the overlay is rejected").to_string();
    assert!(err.contains(remedy), "{remedy:?} in {err:?}");
}

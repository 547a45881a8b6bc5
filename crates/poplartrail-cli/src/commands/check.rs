//! `check`: checks a base file and its overlays offline.

use std::{
    collections::BTreeMap,
    fs,
    path::{Path, PathBuf},
};

use poplartrail_core::{config::DocumentId, names::SiteName};
use poplartrail_settings::document::{SitePolicySource, Warning};
use serde_json::json;

use crate::Exit;

pub(crate) fn run(json: bool, base: &Path, overlays: &[PathBuf]) -> Exit {
    let result = check(base, overlays);
    if json {
        println!("{}", to_json(&result));
    } else {
        print_text(&result);
    }
    match result {
        Ok(warnings) if warnings.is_empty() => Exit::Done,
        _ => Exit::Refused,
    }
}

fn check(base: &Path, overlays: &[PathBuf]) -> Result<Vec<Warning>, String> {
    let mut texts = vec![(DocumentId::Base, read_file(base)?)];
    for path in overlays {
        texts.push((DocumentId::Overlay(overlay_site(path)?), read_file(path)?));
    }
    let texts: BTreeMap<DocumentId, &str> =
        texts.iter().map(|(id, text)| (id.clone(), text.as_str())).collect();
    SitePolicySource::check_all(&texts).map_err(|err| err.to_string())
}

pub(crate) fn read_file(path: &Path) -> Result<String, String> {
    fs::read_to_string(path)
        .map_err(|err| format!("{}: cannot be read ({err}): check the path", path.display()))
}

fn overlay_site(path: &Path) -> Result<SiteName, String> {
    let stem = path.file_stem().and_then(|stem| stem.to_str()).unwrap_or("");
    SiteName::new(stem).map_err(|err| format!("{}: {err}", path.display()))
}

fn to_json(result: &Result<Vec<Warning>, String>) -> serde_json::Value {
    match result {
        Ok(warnings) => {
            let warnings: Vec<String> = warnings.iter().map(ToString::to_string).collect();
            json!({"error": null, "warnings": warnings})
        }
        Err(err) => json!({"error": err, "warnings": []}),
    }
}

fn print_text(result: &Result<Vec<Warning>, String>) {
    match result {
        Ok(warnings) if warnings.is_empty() => println!("in order"),
        Ok(warnings) => warnings.iter().for_each(|warning| println!("{warning}")),
        Err(err) => println!("{err}"),
    }
}

//! `publish`: publishes a change of configuration and prints its verdict.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use poplartrail_core::{
    config::{Change, ChangeId, ConfigRecord, DocumentId, Verdict},
    engine::StreamId,
    names::{OperatorName, SiteName},
};
use poplartrail_http::LogError;
use poplartrail_wire::config::encode_config_record;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    Exit,
    commands::{check, report_unreachable},
    fleet::{FleetReader, fetch_pages},
    options::Publish,
};

/// Pause between two reads of the platform log, or of the status of the nodes.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

pub(crate) async fn run(options: &Publish) -> Exit {
    let mut reader = match FleetReader::new(options.log_options.log) {
        Ok(reader) => reader,
        Err(err) => return report_unreachable(&err),
    };
    if let Err(err) = reader.read_config().await {
        return report_unreachable(&err);
    }
    let change = match build_change(options, &reader) {
        Ok(change) => change,
        Err(reason) => {
            eprintln!("poplartrail: {reason}");
            return Exit::Refused;
        }
    };
    let deadline = Instant::now() + Duration::from_secs(options.timeout_s);
    let record = encode_config_record(&ConfigRecord::Change(change.clone()));
    match reader.log.append(&StreamId::Config, record).await {
        // Without a response the change may be in the log: look for it, never append it again.
        Ok(_) | Err(LogError::NoResponse) => {}
        Err(err) => return report_unreachable(&err),
    }
    let verdict = find_verdict(&mut reader, change.id, deadline).await;
    let exit = print_verdict(options.log_options.json, change.id, verdict.as_ref());
    match verdict {
        Some(Verdict::Accepted { total, .. }) if options.wait => {
            wait_until_in_force(&mut reader, total, deadline, options.log_options.json).await
        }
        _ => exit,
    }
}

fn build_change(options: &Publish, reader: &FleetReader) -> Result<Change, String> {
    let document = match &options.site {
        Some(site) => DocumentId::Overlay(SiteName::new(site).map_err(|err| err.to_string())?),
        None => DocumentId::Base,
    };
    let current = reader.config_state.documents().get(&document).map_or(0, |d| d.version);
    Ok(Change {
        id: ChangeId(uuid::Uuid::now_v7().as_u128()),
        document,
        expected_version: options.against.unwrap_or(current),
        author: OperatorName::new(&options.author).map_err(|err| err.to_string())?,
        text: Arc::from(check::read_file(&options.file)?),
    })
}

/// Reads the log until it holds the verdict on the change, or until `deadline`.
async fn find_verdict(
    reader: &mut FleetReader,
    id: ChangeId,
    deadline: Instant,
) -> Option<Verdict> {
    loop {
        if reader.read_config().await.is_ok()
            && let Some(verdict) = reader.config_state.verdict(id)
        {
            return Some(verdict.clone());
        }
        if Instant::now() >= deadline {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Prints the verdict on a change, or that it is unknown, and returns the exit code.
pub(crate) fn print_verdict(json: bool, id: ChangeId, verdict: Option<&Verdict>) -> Exit {
    let (exit, label, text) = match verdict {
        Some(Verdict::Accepted { version, total }) => (
            Exit::Done,
            "accepted",
            format!("version {version} of the document, change {total} of all"),
        ),
        Some(Verdict::Stale(stale)) => {
            let author = stale.author.as_ref().map_or("somebody", OperatorName::as_str);
            let current = stale.current;
            let text = format!(
                "version {current} by {author} is in force: \
                 make your change again from it and publish with --against {current}"
            );
            (Exit::Refused, "refused", text)
        }
        Some(Verdict::Invalid(reason)) => (Exit::Refused, "refused", reason.to_string()),
        None => {
            let text = format!("the log did not show the change: ask again with verdict {id}");
            (Exit::Unknown, "unknown", text)
        }
    };
    if json {
        let value = json!({"change": id.to_string(), "verdict": label, "text": text});
        println!("{value}");
    } else {
        println!("{label}: {text}\nchange {id}");
    }
    exit
}

/// Waits until every known node has at least configuration version `config_version`.
async fn wait_until_in_force(
    reader: &mut FleetReader,
    config_version: u64,
    deadline: Instant,
    json: bool,
) -> Exit {
    loop {
        let lagging = match lagging_nodes(reader, config_version).await {
            Ok(lagging) => lagging,
            Err(err) => return report_unreachable(&err),
        };
        if lagging.is_empty() {
            if !json {
                println!("in force at every known node");
            }
            return Exit::Done;
        }
        if Instant::now() >= deadline {
            eprintln!("poplartrail: not yet in force at {}: look at status", lagging.join(", "));
            return Exit::Unknown;
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the VMs of nodes with an older configuration version, or without a readable status.
async fn lagging_nodes(
    reader: &mut FleetReader,
    config_version: u64,
) -> Result<Vec<String>, LogError> {
    let members = reader.members().await?;
    let mut lagging = Vec::new();
    fetch_pages(&members, "/status", |member, page| {
        let status = page.and_then(|page| serde_json::from_str::<Value>(&page).ok());
        if status.is_none_or(|status| status["config"].as_u64() < Some(config_version)) {
            lagging.push(member.vm.to_string());
        }
    })
    .await;
    Ok(lagging)
}

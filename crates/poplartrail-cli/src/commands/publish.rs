//! `publish`: a change of configuration, with its verdict.

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
use poplartrail_wire::config::encode_step;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::{
    Exit,
    commands::{check, out_of_reach},
    fleet::{FleetReader, pages},
    options::Publish,
};

/// Time between two looks at the log or at the nodes.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

pub(crate) async fn run(options: &Publish) -> Exit {
    let mut reader = match FleetReader::new(options.fleet.log) {
        Ok(reader) => reader,
        Err(err) => return out_of_reach(&err),
    };
    if let Err(err) = reader.read_config().await {
        return out_of_reach(&err);
    }
    let change = match change(options, &reader) {
        Ok(change) => change,
        Err(why) => {
            eprintln!("poplartrail: {why}");
            return Exit::Refused;
        }
    };
    let end = Instant::now() + Duration::from_secs(options.timeout_s);
    let record = encode_step(&ConfigRecord::Change(change.clone()));
    match reader.log.append(&StreamId::Config, record).await {
        // Without an answer the change may be in the log: it is looked for, never sent again.
        Ok(_) | Err(LogError::NoResponse) => {}
        Err(err) => return out_of_reach(&err),
    }
    let verdict = find_verdict(&mut reader, change.id, end).await;
    let exit = tell(options.fleet.json, change.id, verdict.as_ref());
    match verdict {
        Some(Verdict::Accepted { total, .. }) if options.wait => {
            await_force(&mut reader, total, end, options.fleet.json).await
        }
        _ => exit,
    }
}

fn change(options: &Publish, reader: &FleetReader) -> Result<Change, String> {
    let document = match &options.site {
        Some(site) => DocumentId::Overlay(SiteName::new(site).map_err(|err| err.to_string())?),
        None => DocumentId::Base,
    };
    let current = reader.history.documents().get(&document).map_or(0, |d| d.version);
    Ok(Change {
        id: ChangeId(uuid::Uuid::now_v7().as_u128()),
        document,
        expected_version: options.against.unwrap_or(current),
        author: OperatorName::new(&options.author).map_err(|err| err.to_string())?,
        text: Arc::from(check::read(&options.file)?),
    })
}

/// Reads the log until it holds the change, or until `end`.
async fn find_verdict(reader: &mut FleetReader, id: ChangeId, end: Instant) -> Option<Verdict> {
    loop {
        if reader.read_config().await.is_ok()
            && let Some(verdict) = reader.history.verdict(id)
        {
            return Some(verdict.clone());
        }
        if Instant::now() >= end {
            return None;
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Prints the verdict.
pub(crate) fn tell(json: bool, id: ChangeId, verdict: Option<&Verdict>) -> Exit {
    let (exit, word, text) = match verdict {
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
        Some(Verdict::Invalid(why)) => (Exit::Refused, "refused", why.to_string()),
        None => {
            let text = format!("the log did not show the change: ask again with verdict {id}");
            (Exit::Unknown, "unknown", text)
        }
    };
    if json {
        let value = json!({"change": id.to_string(), "verdict": word, "text": text});
        println!("{value}");
    } else {
        println!("{word}: {text}\nchange {id}");
    }
    exit
}

/// Waits until every known node has at least configuration `version`.
async fn await_force(reader: &mut FleetReader, version: u64, end: Instant, json: bool) -> Exit {
    loop {
        let behind = match behind(reader, version).await {
            Ok(behind) => behind,
            Err(err) => return out_of_reach(&err),
        };
        if behind.is_empty() {
            if !json {
                println!("in force at every known node");
            }
            return Exit::Done;
        }
        if Instant::now() >= end {
            eprintln!("poplartrail: not yet in force at {}: look at status", behind.join(", "));
            return Exit::Unknown;
        }
        sleep(LOOK_PAUSE).await;
    }
}

/// Nodes that have an older configuration or do not answer.
async fn behind(reader: &mut FleetReader, version: u64) -> Result<Vec<String>, LogError> {
    let members = reader.members().await?;
    let mut behind = Vec::new();
    pages(&members, "/status", |member, page| {
        let status = page.and_then(|page| serde_json::from_str::<Value>(&page).ok());
        if status.is_none_or(|status| status["config"].as_u64() < Some(version)) {
            behind.push(member.vm.to_string());
        }
    })
    .await;
    Ok(behind)
}

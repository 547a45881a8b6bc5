//! `status`: each node's version in force, limits and ranks.

use serde_json::{Value, json};

use crate::{
    Exit,
    commands::out_of_reach,
    fleet::{members_at, pages},
    options::Nodes,
};

pub(crate) async fn run(options: &Nodes) -> Exit {
    let members = match members_at(&options.registry).await {
        Ok(members) => members,
        Err(err) => return out_of_reach(&err),
    };
    let mut has_all = true;
    pages(&members, "/status", |member, page| {
        let status = page.and_then(|page| serde_json::from_str::<Value>(&page).ok());
        has_all &= status.is_some();
        let line = match (&status, options.json) {
            (Some(status), true) => status.to_string(),
            (None, true) => json!({"vm": member.vm.as_str(), "phase": "out of reach"}).to_string(),
            (Some(status), false) => line(status),
            (None, false) => format!("{} out of reach", member.vm),
        };
        println!("{line}");
    })
    .await;
    if has_all { Exit::Done } else { Exit::Unknown }
}

fn line(status: &Value) -> String {
    let text = |name: &str| status[name].as_str().unwrap_or("?").to_owned();
    let shares: Vec<String> = status["ranks"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|rank| {
            let name = rank["rank"].as_str().unwrap_or("?");
            format!("{name} {:.3}", rank["path_share"].as_f64().unwrap_or(0.0))
        })
        .collect();
    format!(
        "{} {} in {}: {}, configuration {}, limit {}, in progress {}, waiting {}, slots {}, {}",
        text("vm"),
        text("service"),
        text("zone"),
        text("phase"),
        status["config"],
        status["limit"],
        status["in_flight"],
        status["queued"],
        status["slots"],
        shares.join(", "),
    )
}

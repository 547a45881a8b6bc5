//! `status`: shows the configuration version, limits and ranks of each node.

use serde_json::{Value, json};

use crate::{
    Exit,
    commands::report_unreachable,
    fleet::{fetch_pages, list_members},
    options::NodeOptions,
};

pub(crate) async fn run(options: &NodeOptions) -> Exit {
    let members = match list_members(&options.registry).await {
        Ok(members) => members,
        Err(err) => return report_unreachable(&err),
    };
    let mut is_complete = true;
    fetch_pages(&members, "/status", |member, page| {
        let status = page.and_then(|page| serde_json::from_str::<Value>(&page).ok());
        is_complete &= status.is_some();
        let line = match (&status, options.json) {
            (Some(status), true) => status.to_string(),
            (None, true) => json!({"vm": member.vm.as_str(), "phase": "out of reach"}).to_string(),
            (Some(status), false) => format_line(status),
            (None, false) => format!("{} out of reach", member.vm),
        };
        println!("{line}");
    })
    .await;
    if is_complete { Exit::Done } else { Exit::Unknown }
}

fn format_line(status: &Value) -> String {
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

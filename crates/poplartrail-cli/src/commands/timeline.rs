//! `timeline`: shows the events of all nodes as one time line.

use poplartrail_core::call::RequestId;
use serde_json::Value;
use uuid::Uuid;

use crate::{
    Exit,
    commands::report_unreachable,
    fleet::{fetch_pages, list_members},
    options::Timeline,
};

pub(crate) async fn run(options: &Timeline) -> Exit {
    let members = match list_members(&options.nodes.registry).await {
        Ok(members) => members,
        Err(err) => return report_unreachable(&err),
    };
    let is_selected = |vm: &str| options.node.as_deref().is_none_or(|node| node == vm);
    let selected: Vec<_> = members.into_iter().filter(|m| is_selected(m.vm.as_str())).collect();
    let mut events = Vec::new();
    let mut is_complete = true;
    fetch_pages(&selected, "/events", |member, page| match page {
        Some(page) => {
            events.extend(
                page.lines()
                    .filter_map(parse_event)
                    .filter(|event| matches_filters(options, event)),
            );
        }
        None => {
            is_complete = false;
            eprintln!("poplartrail: {} is out of reach, its events are missing", member.vm);
        }
    })
    .await;
    events.sort_by_key(sort_key);
    for event in &events {
        println!("{}", if options.nodes.json { event.to_string() } else { format_line(event) });
    }
    if is_complete { Exit::Done } else { Exit::Unknown }
}

fn parse_event(line: &str) -> Option<Value> {
    serde_json::from_str(line).ok()
}

fn matches_filters(options: &Timeline, event: &Value) -> bool {
    let field_matches = |wanted: &Option<String>, field: &str| {
        wanted.as_deref().is_none_or(|wanted| event[field].as_str() == Some(wanted))
    };
    let request_matches = |stated: &String| {
        let request = event["request"].as_str();
        request == Some(stated)
            || request == Some(&Uuid::from_u128(RequestId::from_text(stated).0).to_string())
    };
    options.request.as_ref().is_none_or(request_matches)
        && field_matches(&options.rank, "rank")
        && field_matches(&options.kind, "kind")
}

/// Orders events by time, then by VM, then by the number that the node gave the event, which keeps
/// the events of one node in order within a millisecond.
fn sort_key(event: &Value) -> (u64, String, u64) {
    let number = |field: &str| event[field].as_u64().unwrap_or(0);
    (number("at_ms"), event["vm"].as_str().unwrap_or("").to_owned(), number("number"))
}

fn format_line(event: &Value) -> String {
    let text = |field: &str| event[field].as_str().unwrap_or("-").to_owned();
    format!(
        "{} {} {} rank {} request {}: {}",
        event["at_ms"],
        text("vm"),
        text("kind"),
        text("rank"),
        text("request"),
        text("text"),
    )
}

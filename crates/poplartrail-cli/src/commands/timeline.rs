//! `timeline`: the events of all nodes in one order.

use poplartrail_core::call::RequestId;
use serde_json::Value;
use uuid::Uuid;

use crate::{
    Exit,
    commands::out_of_reach,
    fleet::{members_at, pages},
    options::Timeline,
};

pub(crate) async fn run(options: &Timeline) -> Exit {
    let members = match members_at(&options.nodes.registry).await {
        Ok(members) => members,
        Err(err) => return out_of_reach(&err),
    };
    let is_asked = |vm: &str| options.node.as_deref().is_none_or(|node| node == vm);
    let asked: Vec<_> = members.into_iter().filter(|m| is_asked(m.vm.as_str())).collect();
    let mut events = Vec::new();
    let mut has_all = true;
    pages(&asked, "/events", |member, page| match page {
        Some(page) => {
            events.extend(page.lines().filter_map(parse).filter(|event| passes(options, event)));
        }
        None => {
            has_all = false;
            eprintln!("poplartrail: {} is out of reach, its events are missing", member.vm);
        }
    })
    .await;
    events.sort_by_key(order);
    for event in &events {
        println!("{}", if options.nodes.json { event.to_string() } else { line(event) });
    }
    if has_all { Exit::Done } else { Exit::Unknown }
}

fn parse(line: &str) -> Option<Value> {
    serde_json::from_str(line).ok()
}

fn passes(options: &Timeline, event: &Value) -> bool {
    let is = |wanted: &Option<String>, field: &str| {
        wanted.as_deref().is_none_or(|wanted| event[field].as_str() == Some(wanted))
    };
    let is_of = |stated: &String| {
        let request = event["request"].as_str();
        request == Some(stated)
            || request == Some(&Uuid::from_u128(RequestId::from_text(stated).0).to_string())
    };
    options.request.as_ref().is_none_or(is_of)
        && is(&options.rank, "rank")
        && is(&options.kind, "kind")
}

/// By time; events of one node keep their own order whatever its clock does.
fn order(event: &Value) -> (u64, String, u64) {
    let number = |field: &str| event[field].as_u64().unwrap_or(0);
    (number("at_ms"), event["vm"].as_str().unwrap_or("").to_owned(), number("number"))
}

fn line(event: &Value) -> String {
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

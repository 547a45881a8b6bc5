//! The command-line tool's commands and the pages of a node.
//!
//! Guards against output that hides a node or an event, and against exit codes that do not tell
//! a wrong use, a missing node and a missing log apart.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};
use serde_json::Value;

fn plan() -> FleetPlan {
    FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a"))
}

fn tool(fleet: &Fleet, command: &str, more: &[&str]) -> (i32, String) {
    let mut args = vec![command.to_owned(), "--log".to_owned(), fleet.log_addr.to_string()];
    args.extend(more.iter().map(ToString::to_string));
    fleet.run_tool(&args)
}

fn lines(text: &str) -> Vec<Value> {
    text.lines().map(|line| serde_json::from_str(line).expect("a line of JSON")).collect()
}

#[tokio::test]
async fn status_lists_all_nodes() {
    let mut fleet = Fleet::start(plan()).await;
    let (code, text) = tool(&fleet, "status", &["--json"]);
    assert_eq!(code, 0, "{text}");
    let mut vms = Vec::new();
    for status in lines(&text) {
        assert_eq!((&status["phase"], &status["config"]), (&"serving".into(), &1.into()));
        assert!(status["limit"].as_u64().is_some_and(|limit| limit > 0), "{status}");
        assert_eq!(status["ranks"][0]["rank"], "urgent");
        vms.push(status["vm"].as_str().unwrap_or("").to_owned());
    }
    vms.sort();
    assert_eq!(vms, ["front-a1", "middle-a1"]);

    fleet.nodes[1].daemon.kill();
    let (code, text) = tool(&fleet, "status", &[]);
    assert_eq!(code, 3, "the exit code does not tell that a node is out of reach");
    assert!(text.contains("middle-a1 out of reach"), "{text}");
    fleet.log_process.kill();
    assert_eq!(
        tool(&fleet, "status", &[]).0,
        4,
        "the exit code does not tell that the log is out of reach"
    );
}

#[tokio::test]
async fn timeline_merges_and_filters() {
    let fleet = Fleet::start(plan()).await;
    let id = "0192f3c4-0000-7000-8000-00000000abcd";
    let call = Call::get("/").rank("urgent").field("poplartrail-request", id);
    assert_eq!(fleet.caller(0).send(&call).await.unwrap().status, 200);
    let refused = Call::get("/").rank("no-such-rank");
    assert_eq!(fleet.caller(0).send(&refused).await.unwrap().status, 400);

    let (code, text) = tool(&fleet, "timeline", &["--json"]);
    assert_eq!(code, 0, "{text}");
    let events = lines(&text);
    let times: Vec<u64> = events.iter().filter_map(|event| event["at_ms"].as_u64()).collect();
    assert!(times.is_sorted() && times.len() == events.len());
    let is_from = |vm: &str| events.iter().any(|event| event["vm"] == vm);
    assert!(is_from("front-a1") && is_from("middle-a1"), "{text}");

    let (_, text) = tool(&fleet, "timeline", &["--json", "--node", "middle-a1"]);
    let events = lines(&text);
    assert!(!events.is_empty() && events.iter().all(|event| event["vm"] == "middle-a1"));
    let (_, text) = tool(&fleet, "timeline", &["--json", "--kind", "refused"]);
    let events = lines(&text);
    assert!(events.iter().all(|event| event["kind"] == "refused"));
    assert!(text.contains("no-such-rank"), "the reason of the refusal is missing: {text}");
    assert_eq!(
        tool(&fleet, "timeline", &["--none"]).0,
        2,
        "the exit code does not tell a wrong use"
    );

    let refused = refused.field("poplartrail-request", id);
    assert_eq!(fleet.caller(0).send(&refused).await.unwrap().status, 400);
    // The tool accepts the identity as a UUID and as a number.
    for stated in [id.to_owned(), id.replace('-', "")] {
        let (_, text) = tool(&fleet, "timeline", &["--json", "--request", &stated]);
        let events = lines(&text);
        assert!(!events.is_empty() && events.iter().all(|event| event["request"] == id), "{text}");
    }
}

#[tokio::test]
async fn node_serves_its_pages() {
    let fleet = Fleet::start(plan()).await;
    assert_eq!(fleet.caller(0).send(&Call::get("/")).await.unwrap().status, 200);
    let health = fleet.page(0, "/health").await;
    assert_eq!((health.status, health.text().as_str()), (200, "serving\n"));
    let metrics = fleet.page(0, "/metrics").await;
    assert!(metrics.text().contains("# TYPE poplartrail_"), "{}", metrics.text());
    assert_eq!(fleet.page(0, "/none").await.status, 404);
}

#[tokio::test]
async fn check_reports_errors() {
    let fleet = Fleet::start(plan()).await;
    let dir = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let check = |base: String| fleet.run_tool(&["check".to_owned(), "--json".to_owned(), base]);
    let (code, text) = check(format!("{dir}/mekong/base.toml"));
    let page: Value = serde_json::from_str(&text).unwrap();
    assert_eq!((code, &page["error"]), (0, &Value::Null), "{text}");
    let (code, text) = check(format!("{dir}/node.toml"));
    let page: Value = serde_json::from_str(&text).unwrap();
    assert_eq!(code, 1);
    assert!(page["error"].as_str().is_some_and(|err| err.contains("`limits`")), "{text}");
}

#[tokio::test]
async fn shells_get_completion() {
    let fleet = Fleet::start(plan()).await;
    for shell in ["bash", "zsh", "fish", "elvish"] {
        let (code, text) = fleet.run_tool(&[format!("--bpaf-complete-style-{shell}")]);
        assert_eq!(code, 0, "{shell}");
        assert!(text.contains("poplartrail"), "{shell}: {text}");
    }
}

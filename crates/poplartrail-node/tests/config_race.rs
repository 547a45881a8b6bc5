//! Changes of the configuration that collide or meet a failing platform log.
//!
//! Guards against a change that overwrites another one which its author has not seen, and against
//! a configuration that reverts or is lost when the log drops a reply, is down, or has discarded
//! the records of the change.

use std::time::Duration;

use poplartrail_stand::{
    fleet::{Fleet, FleetPlan, NodePlan},
    log::Faults,
};

const BASE: &str = include_str!("bases/pair.toml");

fn plan() -> FleetPlan {
    FleetPlan::new(BASE)
        .node(NodePlan::new("swaps-a1", "swaps", "zone-a"))
        .node(NodePlan::new("swaps-b1", "swaps", "zone-b"))
}

async fn await_version(fleet: &Fleet, version: u64) {
    for at in 0..fleet.nodes.len() {
        let has = |status: &serde_json::Value| status["config"].as_u64() == Some(version);
        fleet.await_status(at, "at the expected version", has).await;
    }
}

#[tokio::test]
async fn outdated_change_is_refused() {
    let fleet = Fleet::start(plan()).await;
    let text = |retries: u8| {
        BASE.replace("[bounds]", &format!("[bounds]\nretries_per_request = {retries}"))
    };
    let (code, output) = fleet.publish("base", &text(1), 1);
    assert_eq!(code, 0, "{output}");
    let (code, output) = fleet.publish("base", &text(2), 1);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("refused") && output.contains("--against 2"), "{output}");
    await_version(&fleet, 2).await;
}

#[tokio::test]
async fn lost_append_reply_is_read_back() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_log_faults(&Faults { lost_answers: 1, ..Faults::default() }).await;
    let (code, output) = fleet.publish("base", &format!("{BASE}\n# a note\n"), 1);
    assert_eq!(code, 0, "{output}");
    assert!(output.contains("accepted: version 2"), "{output}");
    await_version(&fleet, 2).await;
}

#[tokio::test]
async fn publish_fails_without_log() {
    let fleet = Fleet::start(plan()).await;
    fleet.set_log_faults(&Faults { is_down: true, ..Faults::default() }).await;
    let (code, output) = fleet.publish("base", &format!("{BASE}\n# a note\n"), 1);
    assert_eq!(code, 4, "{output}");
    fleet.set_log_faults(&Faults::default()).await;
    await_version(&fleet, 1).await;
}

#[tokio::test]
async fn invalid_change_is_refused() {
    let fleet = Fleet::start(plan()).await;
    let (code, output) = fleet.publish("base", &BASE.replace("zone-b", "zone-c"), 1);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("keys in use"), "{output}");
    let (code, output) = fleet.publish("base", &BASE.replace("worth = 10.0", "worth = -1.0"), 1);
    assert_eq!(code, 1, "{output}");
    assert!(output.contains("rank.worth"), "{output}");
    await_version(&fleet, 1).await;
}

#[tokio::test]
async fn config_outlasts_retention() {
    let fleet = Fleet::start(plan().retention(Duration::from_secs(10))).await;
    tokio::time::sleep(Duration::from_secs(14)).await;
    // The log has discarded every record of the change; a node that starts now still learns it.
    let mut fleet = fleet;
    fleet.restart(1);
    await_version(&fleet, 1).await;
    fleet.await_serving().await;
}

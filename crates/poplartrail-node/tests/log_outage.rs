//! Outages of the platform log, alone and together with the loss of a zone.
//!
//! Guards against nodes that cannot start or serve without the log, and against a keyed call that
//! runs in a second zone while its home zone is gone.

use std::time::Duration;

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    log::Faults,
};

fn down() -> Faults {
    Faults { is_down: true, ..Faults::default() }
}

#[tokio::test]
async fn node_starts_from_seeds() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a"));
    let mut fleet = Fleet::start(plan).await;
    fleet.set_log_faults(&down()).await;
    fleet.add_node(
        &NodePlan::new("front-a2", "front", "zone-a").next_service("middle").with_seeds(),
    );
    fleet.await_status(2, "serving", |status| status["phase"] == "serving").await;
    fleet.await_status(2, "routing", |status| status["config"] == 1).await;
    let reply = fleet.caller(2).send(&Call::get("/sheet").rank("urgent")).await.unwrap();
    assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    assert_eq!(reply.text(), "/sheet\n/sheet\n", "the call did not reach the next service");
}

#[tokio::test]
async fn remaining_zone_serves_without_log() {
    let plan = FleetPlan::new(include_str!("bases/pair.toml"))
        .node(NodePlan::new("swaps-a1", "swaps", "zone-a"))
        .node(NodePlan::new("swaps-a2", "swaps", "zone-a"))
        .node(NodePlan::new("swaps-b1", "swaps", "zone-b"));
    let fleet = Fleet::start(plan).await;
    let caller = fleet.caller(2);
    let get_key = Call::get("/.poplartrail/key");
    let keys: Vec<String> =
        [caller.send(&get_key).await.unwrap(), fleet.caller(0).send(&get_key).await.unwrap()]
            .map(|reply| reply.text())
            .into();
    fleet.set_log_faults(&down()).await;
    for gone in &fleet.nodes[..2] {
        gone.daemon.signal("STOP");
    }
    // After the end of the lease, the remaining zone serves all calls that need no other zone.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let book = |key: &str| Call::post("/book", "one").rank("urgent").key(key);
    let own = caller.send(&book(&keys[0])).await.unwrap();
    assert_eq!(own.outcome(), "answered", "{}", own.text());
    for turn in 0..20 {
        let reply = caller.send(&Call::get("/sheet").rank("routine")).await.unwrap();
        assert_eq!(reply.outcome(), "answered", "call {turn}: {}", reply.text());
    }
    // A key whose home is in the lost zone does not run here; the caller learns that its outcome is
    // unknown.
    let foreign = book(&keys[1]).field("poplartrail-deadline-ms", "500");
    assert_eq!(caller.send(&foreign).await.unwrap().outcome(), "unknown");
    assert_eq!(fleet.runs_of_key(&keys[1]).await, 0);

    for back in &fleet.nodes[..2] {
        back.daemon.signal("CONT");
    }
    fleet.set_log_faults(&Faults::default()).await;
    for turn in 0..60 {
        for key in &keys {
            caller.send(&book(key)).await.unwrap();
        }
        assert!(fleet.runs_of_key(&keys[0]).await == 1 && fleet.runs_of_key(&keys[1]).await <= 1);
        if turn > 10 && fleet.runs_of_key(&keys[1]).await == 1 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

//! A node that is paused and acknowledges nothing on its connections.
//!
//! Guards against calls that wait for the silent node instead of using another one.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};

/// Requests that are sent while the node is silent.
const REQUESTS: usize = 40;

#[tokio::test]
async fn calls_avoid_silent_node() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a"))
        .node(NodePlan::new("middle-a2", "middle", "zone-a"));
    let fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0);
    for _ in 0..20 {
        assert_eq!(caller.send(&Call::get("/before")).await.unwrap().status, 200);
    }
    fleet.nodes[1].daemon.signal("STOP");
    for _ in 0..REQUESTS {
        let reply = caller.send(&Call::get("/after")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    fleet.nodes[1].daemon.signal("CONT");
}

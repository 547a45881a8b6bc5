//! A node that acknowledges nothing is left out, and its calls go elsewhere.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};

/// Requests after the node has fallen silent.
const REQUESTS: usize = 40;

#[tokio::test]
async fn calls_go_elsewhere() {
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

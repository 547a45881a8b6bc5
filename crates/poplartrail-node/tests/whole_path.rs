//! A request through a chain of three services, each with its own node and upstream process.
//!
//! Guards against a path, query, header field or rank that is lost on the way.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};

/// A chain of three services with one instance each.
fn chain() -> FleetPlan {
    FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a").next_service("back"))
        .node(NodePlan::new("back-a1", "back", "zone-a"))
}

#[tokio::test]
async fn request_crosses_three_services() {
    let fleet = Fleet::start(chain()).await;
    let call = Call::get("/sheet?day=3").rank("urgent").field("x-mark", "m1");
    let reply = fleet.caller(0).send(&call).await.expect("the node answers");
    assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    // Each upstream answers with the path, followed by the answer of the next service.
    assert_eq!(reply.text(), "/sheet\n/sheet\n/sheet\n");
    assert_eq!(reply.headers["x-mark"], "m1");
    for at in 0..3 {
        assert_eq!(
            fleet.upstream_counts(at).await.ranks["urgent"],
            1,
            "the rank did not reach node {at}"
        );
    }
}

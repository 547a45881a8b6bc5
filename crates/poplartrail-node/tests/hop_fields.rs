//! Header fields that a node passes on, and hop-by-hop fields that it removes.
//!
//! Guards against the loss of end-to-end fields, and against fields of one connection, such as
//! credentials for a proxy, that reach the other side.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};

#[tokio::test]
async fn hop_by_hop_fields_are_removed() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"));
    let fleet = Fleet::start(plan).await;
    let call = Call::get("/sheet")
        .field("x-mark", "m1")
        .field("authorization", "Bearer of-the-caller")
        .field("connection", "x-of-this-connection")
        .field("x-of-this-connection", "1")
        .field("te", "trailers")
        .field("proxy-authorization", "Basic of-the-hop")
        .field("poplartrail-deadline-ms", "900");
    let reply = fleet.caller(0).send(&call).await.expect("the node answers");
    assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    assert_eq!(reply.headers["x-mark"], "m1");
    assert!(
        !reply.headers.contains_key("proxy-authenticate"),
        "a hop-by-hop field of the upstream was passed on"
    );

    let counts = fleet.upstream_counts(0).await;
    let has = |name: &str| counts.last_fields.iter().any(|field| field == name);
    let passed = ["x-mark", "authorization", "poplartrail-context", "poplartrail-deadline-ms"];
    for name in passed {
        assert!(has(name), "{name} in {:?}", counts.last_fields);
    }
    for name in ["x-of-this-connection", "te", "proxy-authorization"] {
        assert!(!has(name), "{name} in {:?}", counts.last_fields);
    }
}

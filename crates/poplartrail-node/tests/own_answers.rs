//! Each caller gets the whole answer to its own request, however late the answers come.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};

/// Requests in progress at once.
const CALLERS: usize = 64;
/// Largest body that is sent.
const MAX_BODY: usize = 200_000;

#[tokio::test]
async fn late_and_out_of_order() {
    let quick = Behaviour { work_us: 500, ..Behaviour::default() };
    let late = Behaviour { work_us: 150_000, ..Behaviour::default() };
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(quick))
        .node(NodePlan::new("middle-a2", "middle", "zone-a").behaviour(late));
    let fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0);
    let mut tasks = Vec::new();
    for turn in 0..CALLERS {
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move {
            let body: Vec<u8> = (0..turn * MAX_BODY / CALLERS).map(|i| (i * turn) as u8).collect();
            let path = format!("/caller/{turn}");
            let call = Call::get(path.as_str())
                .method(http::Method::PUT)
                .field("x-mark", format!("mark-{turn}"))
                .body(body.clone());
            let reply = caller.send(&call).await.expect("the node answers");
            assert_eq!(reply.status, 200, "{turn}");
            assert_eq!(reply.headers["x-mark"], format!("mark-{turn}"));
            let mut whole = format!("{path}\n").into_bytes();
            whole.extend_from_slice(&body);
            whole.extend_from_slice(format!("{path}\n").as_bytes());
            assert!(reply.body == whole, "the answer to {turn} is its own, whole");
        }));
    }
    for task in tasks {
        task.await.expect("the answer is right");
    }
    assert!(
        fleet.upstream_counts(1).await.ran > 0 && fleet.upstream_counts(2).await.ran > 0,
        "both have answered"
    );
}

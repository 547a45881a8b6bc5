//! Answers that arrive late and out of order.
//!
//! Guards against answers that reach another caller, or arrive incomplete, when many requests are
//! in progress and two instances of different speed answer them.

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    upstream::Behaviour,
};

/// Requests that are in progress at the same time.
const CONCURRENT_REQUESTS: usize = 64;
/// Upper bound on the size of a request body.
const MAX_BODY_BYTES: usize = 200_000;

#[tokio::test]
async fn late_answers_reach_their_callers() {
    let quick = Behaviour { work_us: 500, ..Behaviour::default() };
    let late = Behaviour { work_us: 150_000, ..Behaviour::default() };
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(quick))
        .node(NodePlan::new("middle-a2", "middle", "zone-a").behaviour(late));
    let fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0);
    let mut tasks = Vec::new();
    for turn in 0..CONCURRENT_REQUESTS {
        let caller = caller.clone();
        tasks.push(tokio::spawn(async move {
            let body: Vec<u8> = (0..turn * MAX_BODY_BYTES / CONCURRENT_REQUESTS)
                .map(|i| (i * turn) as u8)
                .collect();
            let path = format!("/caller/{turn}");
            let call = Call::get(path.as_str())
                .method(http::Method::PUT)
                .field("x-mark", format!("mark-{turn}"))
                .body(body.clone());
            let reply = caller.send(&call).await.expect("the node answers");
            assert_eq!(reply.status, 200, "{turn}");
            assert_eq!(reply.headers["x-mark"], format!("mark-{turn}"));
            let mut expected = format!("{path}\n").into_bytes();
            expected.extend_from_slice(&body);
            expected.extend_from_slice(format!("{path}\n").as_bytes());
            assert!(
                reply.body == expected,
                "request {turn} got another answer, or an incomplete one"
            );
        }));
    }
    for task in tasks {
        task.await.expect("the answer is right");
    }
    assert!(
        fleet.upstream_counts(1).await.ran > 0 && fleet.upstream_counts(2).await.ran > 0,
        "one of the instances has answered no request"
    );
}

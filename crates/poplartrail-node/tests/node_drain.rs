//! The planned stop of a node.
//!
//! Guards against a stop that aborts requests in progress, and against new work that still reaches
//! the draining node.

use std::time::Duration;

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
    log::Faults,
    upstream::Behaviour,
};
use test_case::test_case;

/// Service time beyond the server library's own limit on a graceful shutdown.
const LONG_WORK: Duration = Duration::from_secs(33);

fn plan(work: Duration) -> FleetPlan {
    let behaviour = Behaviour { work_us: work.as_micros() as u64, ..Behaviour::default() };
    FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a").behaviour(behaviour))
        .node(NodePlan::new("middle-a2", "middle", "zone-a"))
        .extra_settings("[stop]\ndrain_s = 60\nlinger_ms = 500\n")
}

#[tokio::test]
async fn long_request_survives_stop() {
    let mut fleet = Fleet::start(
        FleetPlan::new(include_str!("bases/chain.toml"))
            .node(NodePlan::new("front-a1", "front", "zone-a").behaviour(Behaviour {
                work_us: LONG_WORK.as_micros() as u64,
                ..Behaviour::default()
            }))
            .extra_settings("[stop]\ndrain_s = 60\nlinger_ms = 500\n"),
    )
    .await;
    let caller = fleet.caller(0);
    let call = Call::get("/long").field("poplartrail-deadline-ms", "60000");
    let request = tokio::spawn(async move { caller.send(&call).await });
    await_received(&fleet, 0).await;
    fleet.nodes[0].daemon.signal("TERM");
    let reply = request.await.unwrap().expect("the request is not aborted");
    assert_eq!((reply.status, reply.text().as_str()), (200, "/long\n"));
    assert_eq!(fleet.nodes[0].daemon.wait(Duration::from_secs(30)), Some(0));
}

#[test_case(false; "log up")]
#[test_case(true; "log down")]
fn new_work_avoids_draining_node(is_log_down: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(plan(Duration::from_millis(300))).await;
        if is_log_down {
            fleet.set_log_faults(&Faults { is_down: true, ..Faults::default() }).await;
        }
        let caller = fleet.caller(0);
        let mut tasks = Vec::new();
        for turn in 0..20 {
            let caller = caller.clone();
            let call = Call::get(format!("/{turn}"));
            tasks.push(tokio::spawn(async move { caller.send(&call).await }));
        }
        await_received(&fleet, 1).await;
        fleet.nodes[1].daemon.signal("TERM");
        for task in tasks {
            let reply = task.await.unwrap().expect("no request is aborted");
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
        let before = fleet.upstream_counts(1).await.received;
        for turn in 0..20 {
            let reply = caller.send(&Call::get(format!("/after/{turn}"))).await.unwrap();
            assert_eq!(reply.status, 200, "{}", reply.text());
        }
        assert_eq!(
            fleet.upstream_counts(1).await.received,
            before,
            "the draining node got new work"
        );
    });
}

/// Callers of the draining node itself are served by another node.
#[tokio::test]
async fn draining_node_reroutes_callers() {
    let fleet = Fleet::start(plan(Duration::from_secs(4))).await;
    let caller = fleet.caller(1);
    let long = tokio::spawn(async move { caller.send(&Call::get("/long")).await });
    await_received(&fleet, 1).await;
    fleet.nodes[1].daemon.signal("TERM");
    fleet.await_status(1, "draining", |status| status["phase"] == "draining").await;
    let caller = fleet.caller(1);
    for turn in 0..10 {
        let reply = caller.send(&Call::get(format!("/after/{turn}"))).await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    }
    assert_eq!(fleet.upstream_counts(1).await.received, 1, "the draining node got new work");
    assert_eq!(long.await.unwrap().expect("the request is not aborted").status, 200);
}

async fn await_received(fleet: &Fleet, at: usize) {
    while fleet.upstream_counts(at).await.received == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

//! Non-idempotent work runs at most once, and callers are told the truth about it.

use std::time::Duration;

use poplartrail_stand::{
    caller::{Call, Caller, Reply},
    fleet::{Fleet, FleetPlan, NodePlan},
    log::Faults,
    upstream::Behaviour,
};
use tokio::task::JoinHandle;

/// Two nodes of one service in each of two availability zones.
fn plan() -> FleetPlan {
    FleetPlan::new(include_str!("bases/pair.toml"))
        .node(NodePlan::new("swaps-a1", "swaps", "zone-a"))
        .node(NodePlan::new("swaps-a2", "swaps", "zone-a"))
        .node(NodePlan::new("swaps-b1", "swaps", "zone-b"))
}

async fn key_from(caller: &Caller) -> String {
    let reply = caller.send(&Call::get("/.poplartrail/key")).await.expect("the node answers");
    assert_eq!(reply.status, 200, "{}", reply.text());
    reply.text()
}

fn book(key: &str) -> Call {
    Call::post("/book", "one swap").rank("urgent").key(key)
}

async fn send(caller: &Caller, call: &Call) -> Reply {
    caller.send(call).await.expect("the node answers")
}

/// Asks with the same key until the outcome is known, as callers are told to.
async fn ask(caller: &Caller, call: &Call) -> Reply {
    for _ in 0..100 {
        let reply = send(caller, call).await;
        if reply.outcome() != "unknown" {
            return reply;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    send(caller, call).await
}

#[tokio::test]
async fn repeats_through_other_nodes() {
    let fleet = Fleet::start(plan()).await;
    for turn in 0..12 {
        let key = key_from(&fleet.caller(turn % 3)).await;
        let mut bodies = Vec::new();
        for at in [0, 1, 2, 0] {
            let reply = ask(&fleet.caller(at), &book(&key)).await;
            assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
            bodies.push(reply.body);
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]), "the same answer each time");
        assert_eq!(fleet.runs_of_key(&key).await, 1);
    }
}

#[tokio::test]
async fn repeats_at_once() {
    let fleet = Fleet::start(plan()).await;
    let slow = Behaviour { work_us: 200_000, ..Behaviour::default() };
    for at in 0..3 {
        fleet.set_behaviour(at, &slow).await;
    }
    let key = key_from(&fleet.caller(0)).await;
    let mut tasks = Vec::new();
    for at in 0..12 {
        let (caller, call) = (fleet.caller(at % 3), book(&key));
        tasks.push(tokio::spawn(async move { ask(&caller, &call).await }));
    }
    for task in tasks {
        let reply = task.await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    }
    assert_eq!(fleet.runs_of_key(&key).await, 1);
}

#[tokio::test]
async fn key_with_another_body() {
    let fleet = Fleet::start(plan()).await;
    let key = key_from(&fleet.caller(0)).await;
    assert_eq!(ask(&fleet.caller(0), &book(&key)).await.status, 200);
    let other = Call::post("/book", "two swaps").rank("urgent").key(&key);
    let reply = ask(&fleet.caller(1), &other).await;
    assert_eq!((reply.status, reply.outcome()), (422, "not-run"), "{}", reply.text());
    assert_eq!(fleet.runs_of_key(&key).await, 1);
}

#[tokio::test]
async fn lost_answer_stays_unknown() {
    let fleet = Fleet::start(plan()).await;
    let key = key_from(&fleet.caller(0)).await;
    for at in 0..3 {
        fleet.set_behaviour(at, &Behaviour { lost_answers: 1, ..Behaviour::default() }).await;
    }
    let call = book(&key).field("poplartrail-deadline-ms", "400");
    let first = send(&fleet.caller(0), &call).await;
    assert_eq!(first.outcome(), "unknown", "{}", first.text());
    let again = send(&fleet.caller(1), &call).await;
    assert_eq!(again.outcome(), "unknown", "{}", again.text());
    assert_eq!(fleet.runs_of_key(&key).await, 1, "it ran, and did not run again");
}

/// Sends the key through the last node, again after each "unknown", until the first one's
/// upstream has received it.
async fn dispatched(fleet: &Fleet, key: &str) -> JoinHandle<Reply> {
    for _ in 0..100 {
        let (caller, call) = (fleet.caller(2), book(key));
        let request = tokio::spawn(async move { send(&caller, &call).await });
        while !request.is_finished() {
            if fleet.upstream_counts(0).await.received > 0 {
                return request;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("the key does not reach its home");
}

#[tokio::test]
async fn killed_after_dispatch() {
    let mut fleet = Fleet::start(plan()).await;
    let slow = Behaviour { work_us: 300_000, ..Behaviour::default() };
    fleet.set_behaviour(0, &slow).await;
    // The key's home is the first node, which is killed while its upstream works.
    let key = key_from(&fleet.caller(0)).await;
    let request = dispatched(&fleet, &key).await;
    fleet.restart(0);
    let first = request.await.unwrap();
    assert_ne!(first.outcome(), "not-run", "the home was told to run it");
    fleet.await_serving().await;
    // While the slot changes hands, and after: never a second run, never "not run".
    for _ in 0..30 {
        for at in 0..3 {
            let reply = send(&fleet.caller(at), &book(&key)).await;
            assert_ne!(reply.outcome(), "not-run", "{}", reply.text());
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert!(fleet.runs_of_key(&key).await <= 1);
}

#[tokio::test]
async fn paused_past_its_lease() {
    let fleet = Fleet::start(plan()).await;
    let key = key_from(&fleet.caller(0)).await;
    fleet.nodes[0].daemon.signal("STOP");
    // The lease of 4 s runs out and another node takes the slots over.
    tokio::time::sleep(Duration::from_secs(8)).await;
    let call = book(&key).field("poplartrail-deadline-ms", "500");
    let early = send(&fleet.caller(1), &call).await;
    fleet.nodes[0].daemon.signal("CONT");
    tokio::time::sleep(Duration::from_millis(500)).await;
    for at in [0, 1, 2, 0] {
        let reply = send(&fleet.caller(at), &call).await;
        assert!(
            early.outcome() != "answered"
                || reply.body == early.body
                || reply.outcome() != "answered",
            "not two answers for one key"
        );
    }
    assert!(fleet.runs_of_key(&key).await <= 1);
}

#[tokio::test]
async fn log_outage_shorter_and_longer_than_lease() {
    let fleet = Fleet::start(plan()).await;
    let old = key_from(&fleet.caller(0)).await;
    fleet.set_log_faults(&Faults { is_down: true, ..Faults::default() }).await;
    let during = key_from(&fleet.caller(0)).await;
    let reply = send(&fleet.caller(0), &book(&during)).await;
    assert_eq!(reply.outcome(), "answered", "a short outage stops nothing: {}", reply.text());
    tokio::time::sleep(Duration::from_secs(6)).await;
    // Past the lease the home still answers for the keys that only it may run. A node that had
    // not read who holds the slot when the log went asks for that first.
    let reply = ask(&fleet.caller(1), &book(&old)).await;
    assert_eq!(reply.outcome(), "answered", "{}", reply.text());
    fleet.set_log_faults(&Faults::default()).await;
    for key in [&old, &during] {
        for at in 0..3 {
            send(&fleet.caller(at), &book(key)).await;
        }
        assert_eq!(fleet.runs_of_key(key).await, 1);
    }
}

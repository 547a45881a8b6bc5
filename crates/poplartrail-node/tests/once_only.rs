//! Keyed calls run at most once, and callers learn the true outcome.
//!
//! Guards against a second run of a call that is repeated through another node, at the same time,
//! after a lost answer, or while its home node is killed, paused beyond its lease or without the
//! platform log; and against "not run" for a call that has run.
//!
//! The key slot of a key is part of the key space. A node holds it under a lease in the platform
//! log, and is then the home of its keys: the only node that runs calls with them. A new holder
//! accepts only keys that were minted in its own epoch, never those of a holder before it.

use std::time::Duration;

use poplartrail_stand::{
    caller::{Call, Caller, Reply},
    fleet::{Fleet, FleetPlan, NodePlan},
    log::Faults,
    upstream::Behaviour,
};
use tokio::task::JoinHandle;

/// Three nodes of one service: two in the first availability zone, one in the second.
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

/// Repeats the call with its key until the outcome is known, as callers are asked to.
async fn send_until_known(caller: &Caller, call: &Call) -> Reply {
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
async fn repeats_through_other_nodes_run_once() {
    let fleet = Fleet::start(plan()).await;
    for turn in 0..12 {
        let key = key_from(&fleet.caller(turn % 3)).await;
        let mut bodies = Vec::new();
        for at in [0, 1, 2, 0] {
            let reply = send_until_known(&fleet.caller(at), &book(&key)).await;
            assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
            bodies.push(reply.body);
        }
        assert!(bodies.iter().all(|body| *body == bodies[0]), "the answers to one key differ");
        assert_eq!(fleet.runs_of_key(&key).await, 1);
    }
}

#[tokio::test]
async fn concurrent_repeats_run_once() {
    let fleet = Fleet::start(plan()).await;
    let slow = Behaviour { work_us: 200_000, ..Behaviour::default() };
    for at in 0..3 {
        fleet.set_behaviour(at, &slow).await;
    }
    let key = key_from(&fleet.caller(0)).await;
    let mut tasks = Vec::new();
    for at in 0..12 {
        let (caller, call) = (fleet.caller(at % 3), book(&key));
        tasks.push(tokio::spawn(async move { send_until_known(&caller, &call).await }));
    }
    for task in tasks {
        let reply = task.await.unwrap();
        assert_eq!((reply.status, reply.outcome()), (200, "answered"), "{}", reply.text());
    }
    assert_eq!(fleet.runs_of_key(&key).await, 1);
}

#[tokio::test]
async fn key_with_another_body_is_refused() {
    let fleet = Fleet::start(plan()).await;
    let key = key_from(&fleet.caller(0)).await;
    assert_eq!(send_until_known(&fleet.caller(0), &book(&key)).await.status, 200);
    let other = Call::post("/book", "two swaps").rank("urgent").key(&key);
    let reply = send_until_known(&fleet.caller(1), &other).await;
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
    assert_eq!(fleet.runs_of_key(&key).await, 1, "the call did not run exactly once");
}

/// Sends the key through the last node, and again after each "unknown", until the upstream of the
/// first node has received it.
async fn send_until_dispatched(fleet: &Fleet, key: &str) -> JoinHandle<Reply> {
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
    panic!("the call does not reach the home of its key");
}

#[tokio::test]
async fn call_runs_at_most_once_if_home_is_killed() {
    let mut fleet = Fleet::start(plan()).await;
    let slow = Behaviour { work_us: 300_000, ..Behaviour::default() };
    fleet.set_behaviour(0, &slow).await;
    // The home of the key is the first node, which is killed while its upstream works.
    let key = key_from(&fleet.caller(0)).await;
    let request = send_until_dispatched(&fleet, &key).await;
    fleet.restart(0);
    let first = request.await.unwrap();
    assert_ne!(first.outcome(), "not-run", "reported as not run after the upstream received it");
    fleet.await_serving().await;
    // While the key slot moves to another node, and afterwards, the call is neither run again nor
    // reported as not run.
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
async fn call_runs_at_most_once_if_home_is_paused() {
    let fleet = Fleet::start(plan()).await;
    let key = key_from(&fleet.caller(0)).await;
    fleet.nodes[0].daemon.signal("STOP");
    // The lease of 4 s expires, and another node takes over the key slots, but not the old keys.
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
            "two different answers for one key"
        );
    }
    assert!(fleet.runs_of_key(&key).await <= 1);
}

#[tokio::test]
async fn keys_survive_log_outage() {
    let fleet = Fleet::start(plan()).await;
    let old = key_from(&fleet.caller(0)).await;
    fleet.set_log_faults(&Faults { is_down: true, ..Faults::default() }).await;
    let during = key_from(&fleet.caller(0)).await;
    let reply = send(&fleet.caller(0), &book(&during)).await;
    assert_eq!(reply.outcome(), "answered", "a short outage stopped the call: {}", reply.text());
    tokio::time::sleep(Duration::from_secs(6)).await;
    // After its lease has expired, the home still runs calls with the keys of its own epoch, as no
    // later holder accepts these keys. A node that has not read who holds the key slot when
    // the log goes down first asks a node of the service in the zone of the key.
    let reply = send_until_known(&fleet.caller(1), &book(&old)).await;
    assert_eq!(reply.outcome(), "answered", "{}", reply.text());
    fleet.set_log_faults(&Faults::default()).await;
    for key in [&old, &during] {
        for at in 0..3 {
            send(&fleet.caller(at), &book(key)).await;
        }
        assert_eq!(fleet.runs_of_key(key).await, 1);
    }
}

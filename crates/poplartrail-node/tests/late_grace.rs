//! Requests that come at any time of the grace period of a planned stop.
//!
//! Guards against a request that is passed on so late that the end of the process cuts it, among
//! them requests that may not be repeated.

use std::{
    thread::{scope, sleep},
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedCaller, HostedNode, HostedReply, StandInstance, StandStore};
use test_case::test_case;

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Grace period in the settings of the stand-in platform.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Time between two requests of one caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(120);
/// Time of the grace period at which the last long request begins, and the path that makes it last
/// until nearly the end. Without it the process would end once it has drained.
const LONG_REQUEST_AT: Duration = Duration::from_millis(1_300);
const LONG_PATH: &str = "/book/slow-3700";
/// Callers, each of which sends its requests at other times.
const CALLERS: u32 = 6;

/// A request of a caller, and what became of it.
struct Sent {
    id: String,
    at: Duration,
    reply: Option<HostedReply>,
}

/// Sends requests until the node accepts no connection any more, each over a new connection or all
/// over one that is kept as long as the node keeps it.
fn send_until_end(node: &HostedNode, path: &str, caller: u32, keeps_connection: bool) -> Vec<Sent> {
    sleep(REQUEST_INTERVAL * caller / CALLERS);
    let (start, mut sent) = (Instant::now(), Vec::new());
    let mut kept = None;
    for number in 0.. {
        let open = || HostedCaller::try_connect(node.requests_addr);
        let Some(mut connection) = kept.take().or_else(open) else { break };
        let (id, at) = (format!("a{caller}-{number}"), start.elapsed());
        let reply = connection.call("POST", HOST, path, &id);
        let is_kept = reply.as_ref().is_some_and(|reply| !reply.headers.contains_key("connection"));
        kept = (keeps_connection && is_kept).then_some(connection);
        sent.push(Sent { id, at, reply });
        sleep(REQUEST_INTERVAL);
        if start.elapsed() > GRACE_PERIOD {
            break;
        }
    }
    sent
}

/// The instance of the stopped node, or that of another node, runs the requests.
#[test_case("/book/slow-250", true; "own instance, kept connections")]
#[test_case("/book/slow-250", false; "own instance, new connections")]
#[test_case("/book/swaps/slow-250", true; "other instance, kept connections")]
fn request_that_runs_is_answered(path: &str, keeps_connection: bool) {
    let store = StandStore::start();
    store.publish(&SITE.replace("/read/swaps/", "/book/swaps/"));
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let mut node = HostedNode::start("vm-1", "routes", &store, &instances[0]);
    let mut other = HostedNode::start("vm-2", "swaps", &store, &instances[1]);
    for (node, instance) in [(&mut node, &instances[0]), (&mut other, &instances[1])] {
        node.await_ready();
        assert_eq!(node.send_heartbeat(instance, "ready"), 200);
    }
    let mut id = 0;
    node.await_condition("routed", || {
        id += 1;
        let reply = node.caller().call("POST", HOST, path, &format!("f{id}"));
        reply.is_some_and(|reply| reply.status == 200)
    });
    node.process().signal("TERM");
    let sent: Vec<Sent> = scope(|scope| {
        let callers = (0..CALLERS).map(|at| {
            let node = &node;
            scope.spawn(move || send_until_end(node, path, at, keeps_connection))
        });
        let callers: Vec<_> = callers.collect();
        sleep(LONG_REQUEST_AT);
        let reply = node.caller().call("POST", HOST, LONG_PATH, "long");
        assert_eq!(reply.map(|reply| reply.status), Some(200), "the long request");
        callers.into_iter().flat_map(|caller| caller.join().expect("no panic")).collect()
    });
    assert_eq!(node.process_mut().wait(GRACE_PERIOD), Some(0), "the process ends by itself");
    assert!(sent.iter().any(|sent| sent.at > GRACE_PERIOD / 2), "requests came late in the grace");
    for Sent { id, at, reply } in &sent {
        let runs: usize = instances.iter().map(|instance| instance.runs(id)).sum();
        let status = reply.as_ref().map(|reply| reply.status);
        match runs {
            0 => assert!(matches!(status, None | Some(503)), "{status:?} for {id}, sent at {at:?}"),
            _ => assert_eq!((runs, status), (1, Some(200)), "{id}, sent at {at:?}"),
        }
    }
}

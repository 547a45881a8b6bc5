//! An upstream that closes its connection in the middle of an answer.
//!
//! Guards against a truncated answer that a caller takes for the whole one, and against a keyed
//! call that is reported as not run, or run again, although the upstream has run it.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    thread,
};

use poplartrail_stand::{
    caller::Call,
    fleet::{Fleet, FleetPlan, NodePlan},
};
use test_case::test_case;

const WITH_LENGTH: &str = "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nthe first part";
const IN_CHUNKS: &str =
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\ne\r\nthe first part\r\n";
const IN_THE_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-len";

/// Answers each call to `addr` with `part`, and counts the calls to `/book`.
fn serve_truncated(addr: SocketAddr, part: &'static str) -> Arc<AtomicUsize> {
    let listener = TcpListener::bind(addr).expect("the upstream has left its address");
    let booked = Arc::new(AtomicUsize::new(0));
    let count = booked.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let count = count.clone();
            thread::spawn(move || write_truncated(stream, part, &count));
        }
    });
    booked
}

fn write_truncated(mut stream: TcpStream, part: &str, booked: &AtomicUsize) {
    let mut buf = [0; 4096];
    let len = stream.read(&mut buf).unwrap_or(0);
    if buf[..len].starts_with(b"POST /book") {
        booked.fetch_add(1, Ordering::SeqCst);
    }
    // The node may have closed the connection.
    drop(stream.write_all(part.as_bytes()));
}

#[test_case(WITH_LENGTH; "with a length")]
#[test_case(IN_CHUNKS; "in chunks")]
#[test_case(IN_THE_HEAD; "in the head")]
#[tokio::test]
async fn truncated_answer_is_not_passed_on(part: &'static str) {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"));
    let mut fleet = Fleet::start(plan).await;
    let caller = fleet.caller(0);
    let key = caller.send(&Call::get("/.poplartrail/key")).await.unwrap().text();
    fleet.nodes[0].upstream_process.kill();
    let booked = serve_truncated(fleet.nodes[0].upstream_addr, part);

    let reply = caller.send(&Call::get("/")).await.expect("the node answers");
    assert_ne!(reply.outcome(), "answered", "{}", reply.text());
    assert!(!reply.text().contains("the first part"));

    // The upstream has run the call: the outcome is unknown, and a repeat must not run it again.
    let book = Call::post("/book", "one swap").key(&key);
    for _ in 0..3 {
        let reply = caller.send(&book).await.expect("the node answers");
        assert_eq!(reply.outcome(), "unknown", "{}", reply.text());
    }
    assert_eq!(booked.load(Ordering::SeqCst), 1, "number of runs");
}

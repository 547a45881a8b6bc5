//! A planned stop while clients and other nodes still read their answers.
//!
//! Guards against a process that ends once its last call has ended, although answers wait for the
//! client to read them, and against one that waits for such a client beyond its grace time.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread::sleep,
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedNode, StandInstance, StandStore};

const SITE: &str = include_str!("sites/small.json");
const HOST: &str = "routes.example";
/// Grace period in the settings of the stand-in platform.
const GRACE_PERIOD: Duration = Duration::from_secs(6);
/// Size of an answer, larger than what the kernel holds for both ends of a connection.
const ANSWER_KIB: usize = 16 << 10;
/// Time after the stop signal at which the client goes on reading.
const READ_PAUSE: Duration = Duration::from_millis(3_500);
/// Size of an answer that takes some time on its way between two nodes.
const LONG_ANSWER_KIB: usize = 32 << 10;
/// Time after the stop signal at which another node makes its last call, shortly before calls are
/// refused.
const LAST_CALL_AT: Duration = Duration::from_millis(2_100);
/// Time for which the other node takes nothing.
const SUSPENSION: Duration = Duration::from_millis(1_000);
const PIPELINED: usize = 40;
const PIPELINED_KIB: usize = 512;

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\nx-deadline-ms: 5000\r\n\r\n"
    )
}

/// Sends requests over one connection and waits until the node has begun to answer.
fn send(node: &HostedNode, requests: &str) -> TcpStream {
    let mut stream = TcpStream::connect(node.requests_addr).expect("the node accepts connections");
    stream.write_all(requests.as_bytes()).expect("the node reads requests");
    stream.set_read_timeout(Some(GRACE_PERIOD)).expect("a valid time");
    stream.peek(&mut [0]).expect("an answer");
    stream
}

/// Reads until more than `min_len` bytes have arrived or the node closes the connection, and returns
/// their number.
fn read_answer(mut stream: TcpStream, min_len: usize) -> usize {
    let (mut chunk, mut total) = (vec![0; 1 << 16], 0);
    while total <= min_len {
        match stream.read(&mut chunk) {
            Ok(len @ 1..) => total += len,
            _ => break,
        }
    }
    total
}

/// Reads until the node closes the connection, and returns the number of bytes.
fn read_to_end(mut stream: TcpStream) -> usize {
    let (mut chunk, mut total) = (vec![0; 1 << 16], 0);
    while let Ok(len @ 1..) = stream.read(&mut chunk) {
        total += len;
    }
    total
}

#[test]
fn slow_client_gets_its_whole_answer() {
    let (_store, _instance, node) = HostedNode::start_single(SITE);
    let stream = send(&node, &request(&format!("/read/kb-{ANSWER_KIB}"), "a1"));
    node.process().signal("TERM");
    sleep(READ_PAUSE);
    let len = read_to_end(stream);
    assert!(len > ANSWER_KIB << 10, "{len} bytes of an answer of {ANSWER_KIB} KiB");
}

#[test]
fn slow_client_gets_all_answers() {
    let (_store, instance, node) = HostedNode::start_single(SITE);
    let path = format!("/read/kb-{PIPELINED_KIB}");
    let requests: String = (0..PIPELINED).map(|at| request(&path, &format!("b{at}"))).collect();
    let stream = send(&node, &requests);
    node.await_condition("all have run", || instance.total_runs() == PIPELINED);
    node.process().signal("TERM");
    sleep(READ_PAUSE);
    let len = read_to_end(stream);
    assert!(len > (PIPELINED * PIPELINED_KIB) << 10, "{len} bytes of {PIPELINED} answers");
}

/// A client that never reads costs the grace time and no more.
#[test]
fn client_that_never_reads_is_cut() {
    let (_store, _instance, mut node) = HostedNode::start_single(SITE);
    let _stream = send(&node, &request(&format!("/read/kb-{ANSWER_KIB}"), "c1"));
    let stopping_at = Instant::now();
    node.process().signal("TERM");
    let status = node.process_mut().wait(GRACE_PERIOD);
    assert_eq!(status, Some(0), "still running at the end of the grace time");
    assert!(stopping_at.elapsed() > GRACE_PERIOD / 2, "the answer was given up early");
    let output = node.output();
    assert!(output.contains("1 unsent replies"), "{output}");
}

/// The answer is on its way to another node when the last call ends.
#[test]
fn other_node_gets_its_whole_answer() {
    let store = StandStore::start();
    store.publish(SITE);
    let instances = [StandInstance::start("i-1"), StandInstance::start("i-2")];
    let front = HostedNode::start("vm-1", "routes", &store, &instances[0]);
    let mut back = HostedNode::start("vm-2", "swaps", &store, &instances[1]);
    front.await_ready();
    back.await_ready();
    assert_eq!(back.send_heartbeat(&instances[1], "ready"), 200);
    let mut id = 0;
    front.await_condition("routed to vm-2", || {
        id += 1;
        let reply = front.caller().call("GET", HOST, "/read/swaps/ok", &format!("d{id}"));
        reply.is_some_and(|reply| reply.status == 200)
    });
    back.process().signal("TERM");
    sleep(LAST_CALL_AT);
    let mut stream = TcpStream::connect(front.requests_addr).expect("an open connection");
    stream.set_read_timeout(Some(GRACE_PERIOD)).expect("a valid time");
    let request = request(&format!("/read/swaps/kb-{LONG_ANSWER_KIB}"), "e1");
    stream.write_all(request.as_bytes()).expect("the node reads requests");
    front.await_condition("the call has arrived", || instances[1].runs("e1") == 1);
    front.process().signal("STOP");
    sleep(SUSPENSION);
    front.process().signal("CONT");
    let len = read_answer(stream, LONG_ANSWER_KIB << 10);
    assert!(len > LONG_ANSWER_KIB << 10, "{len} bytes of an answer of {LONG_ANSWER_KIB} KiB");
    assert_eq!(back.process_mut().wait(GRACE_PERIOD), Some(0));
}

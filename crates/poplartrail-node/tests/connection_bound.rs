//! The bound on a server's connections.
//!
//! Guards against a server that accepts more than `max_connections`, and against one that does not
//! accept again after a connection has closed.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use poplartrail_stand::fleet::{Fleet, FleetPlan, NodePlan};

/// Time for which a connection beyond the bound must get no answer.
const EXPECTED_SILENCE: Duration = Duration::from_millis(500);
/// Time within which an expected answer must arrive.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(20);

fn send(addr: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(addr).expect("the listening socket has room");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: node\r\n\r\n").expect("the request is sent");
    stream
}

fn status(stream: &mut TcpStream, wait: Duration) -> Result<String, ErrorKind> {
    let mut buf = [0; 12];
    stream.set_read_timeout(Some(wait)).expect("the wait is not zero");
    stream.read_exact(&mut buf).map_err(|err| err.kind())?;
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

#[tokio::test]
async fn excess_connection_waits() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"))
        .extra_settings("[limits]\nmax_connections = 3\n");
    let fleet = Fleet::start(plan).await;
    let addr = fleet.nodes[0].callers_addr;
    let mut open: Vec<TcpStream> = (0..3).map(|_| send(addr)).collect();
    for stream in &mut open {
        assert_eq!(status(stream, ANSWER_TIMEOUT).as_deref(), Ok("HTTP/1.1 200"));
    }
    let mut next = send(addr);
    let early = status(&mut next, EXPECTED_SILENCE);
    assert!(matches!(early, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{early:?}");
    drop(open.pop());
    assert_eq!(status(&mut next, ANSWER_TIMEOUT).as_deref(), Ok("HTTP/1.1 200"));
}

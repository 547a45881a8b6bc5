//! A server accepts no more connections than its setting allows.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use poplartrail_stand::fleet::{Fleet, FleetPlan, NodePlan};

/// Time for which a connection over the bound is watched for an answer.
const WATCH: Duration = Duration::from_millis(500);
/// Time after which an answer that must come has not come.
const PATIENCE: Duration = Duration::from_secs(20);

fn send(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).expect("the listening socket has room");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: node\r\n\r\n").expect("the socket takes it");
    stream
}

fn status(stream: &mut TcpStream, wait: Duration) -> Result<String, ErrorKind> {
    let mut buf = [0; 12];
    stream.set_read_timeout(Some(wait)).expect("the wait is not zero");
    stream.read_exact(&mut buf).map_err(|err| err.kind())?;
    Ok(String::from_utf8_lossy(&buf).into_owned())
}

#[tokio::test]
async fn next_waits() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"))
        .extra_settings("[limits]\nmax_connections = 3\n");
    let fleet = Fleet::start(plan).await;
    let to = fleet.nodes[0].callers_addr;
    let mut open: Vec<TcpStream> = (0..3).map(|_| send(to)).collect();
    for stream in &mut open {
        assert_eq!(status(stream, PATIENCE).as_deref(), Ok("HTTP/1.1 200"));
    }
    let mut next = send(to);
    let early = status(&mut next, WATCH);
    assert!(matches!(early, Err(ErrorKind::WouldBlock | ErrorKind::TimedOut)), "{early:?}");
    drop(open.pop());
    assert_eq!(status(&mut next, PATIENCE).as_deref(), Ok("HTTP/1.1 200"));
}

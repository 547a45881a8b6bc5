//! The command-line tool with more nodes than it may ask at once.
//!
//! Guards against a tool that opens a connection to each node of a large fleet at the same time.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::atomic::{AtomicUsize, Ordering},
    thread,
    time::Duration,
};

use poplartrail_core::{
    engine::StreamId,
    keys::LeaseTerms,
    member::{Member, MemberRecord, MemberState},
    names::{ServiceName, VmName, ZoneName},
    time::Time,
};
use poplartrail_http::LogClient;
use poplartrail_stand::fleet::{Fleet, FleetPlan, NodePlan};
use poplartrail_wire::member::encode_member_record;

/// Nodes that are announced; all of them answer with the same page.
const NODES: usize = 300;
/// Number of nodes that the tool asks concurrently.
const MAX_CONCURRENT: usize = 64;
/// Time that each page takes to be served.
const PAGE_TIME: Duration = Duration::from_millis(20);
const PAGE: &str = "{\"vm\":\"announced\",\"phase\":\"serving\"}";

static OPEN: AtomicUsize = AtomicUsize::new(0);
static MAX_OPEN: AtomicUsize = AtomicUsize::new(0);

/// Serves the page until the client closes the connection.
fn answer(mut stream: TcpStream) {
    MAX_OPEN.fetch_max(OPEN.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
    while stream.read(&mut [0; 1024]).is_ok_and(|len| len > 0) {
        thread::sleep(PAGE_TIME);
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", PAGE.len());
        if stream.write_all((head + PAGE).as_bytes()).is_err() {
            break;
        }
    }
    OPEN.fetch_sub(1, Ordering::SeqCst);
}

/// Serves the page on one port of every loopback address, and returns the port.
fn serve_pages() -> u16 {
    let listener = TcpListener::bind("0.0.0.0:0").expect("a port is free");
    let port = listener.local_addr().expect("the socket is bound").port();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || answer(stream));
        }
    });
    port
}

async fn announce(log: &LogClient, number: usize, port: u16) {
    // Each node has its own address.
    let [.., high, low] = (number as u32).to_be_bytes();
    let report_addr = SocketAddr::from(([127, 1, high, low], port));
    let service = ServiceName::new("front").unwrap();
    let record = MemberRecord {
        member: Member {
            vm: VmName::new(format!("announced-{number}")).unwrap(),
            incarnation: 1,
            service: service.clone(),
            zone: ZoneName::new("zone-b").unwrap(),
            addr: report_addr,
            report_addr,
        },
        state: MemberState::Draining,
        terms: LeaseTerms { duration: Duration::from_secs(600), max_skew: Duration::ZERO },
        sent_at: Time::ZERO,
        slot_changes: Vec::new(),
        upstream: None,
    };
    let body = encode_member_record(&record);
    log.append(&StreamId::Members(service), body).await.expect("the log takes the record");
}

#[tokio::test]
async fn status_limits_connections() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"));
    let fleet = Fleet::start(plan).await;
    let port = serve_pages();
    let log = LogClient::new(fleet.log_addr, Duration::from_secs(5)).unwrap();
    for number in 0..NODES {
        announce(&log, number, port).await;
    }
    let args = ["status", "--json", "--log", &fleet.log_addr.to_string()].map(str::to_owned);
    let (code, text) = fleet.run_tool(&args);
    assert_eq!((code, text.lines().count()), (0, NODES + 1), "{text}");
    // The server may count a closed connection until it has seen the end of it, so that each
    // concurrent request may count twice.
    let max_open = MAX_OPEN.load(Ordering::SeqCst);
    assert!(max_open <= 2 * MAX_CONCURRENT, "{max_open} connections at once");
}

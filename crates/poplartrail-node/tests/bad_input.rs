//! Invalid input on each port of a node.
//!
//! Guards against input that stops the node, reaches the upstream, or is refused without saying
//! how to mend it.

use std::{io::Write, net::UdpSocket};

use http::Method;
use poplartrail_stand::{
    caller::{Call, Caller},
    fleet::{Fleet, FleetPlan, NodePlan},
};

const KEY: &str = "0192f3c4-0000-7000-8000-000000000001";
const UUID_V4_KEY: &str = "6fa459ea-ee8a-4ca4-894e-db77e160355e";

fn plan() -> FleetPlan {
    FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a"))
        .extra_settings("[limits]\nmax_body_bytes = 4096\nmax_header_bytes = 8192\n")
}

#[tokio::test]
async fn invalid_request_gets_remedy() {
    let fleet = Fleet::start(plan()).await;
    let long = "x".repeat(9_000);
    let cases = [
        (Call::get("/").rank("no-such-rank"), 400, "base file"),
        (Call::get("/").rank("BAD NAME"), 400, "lower-case"),
        (Call::post("/", "pay"), 400, "UUIDv7"),
        (Call::post("/", "pay").key("seven"), 400, "UUIDv7"),
        (Call::post("/", "pay").key(UUID_V4_KEY), 400, "version 4"),
        (Call::post("/", vec![0; 5_000]).key(KEY), 413, "max_body_bytes"),
        (Call::get("/").field("x-long", long), 431, "max_header_bytes"),
        (Call::get("/").field("poplartrail-deadline-ms", "soon"), 400, "milliseconds"),
        (Call::get("/").field("poplartrail-request", "mine"), 400, "UUID"),
        (Call::get("/").method(Method::TRACE), 405, "another"),
    ];
    for (call, status, remedy) in cases {
        let reply = fleet.caller(0).send(&call).await.expect("the node answers");
        assert_eq!((reply.status, reply.outcome()), (status, "not-run"), "{call:?}");
        assert!(reply.text().contains(remedy), "{remedy:?} in {:?}", reply.text());
    }
    assert_eq!(
        fleet.upstream_counts(0).await.received,
        0,
        "an invalid request reached the upstream"
    );
    assert_eq!(fleet.caller(0).send(&Call::get("/")).await.unwrap().status, 200);
}

#[tokio::test]
async fn unknown_service_is_refused() {
    let fleet = Fleet::start(plan()).await;
    let upstream = Caller::new(fleet.nodes[0].outbound_addr);
    let cases = [
        (Call::get("/").field("poplartrail-service", "no-such-service"), 404, "base file"),
        (Call::get("/"), 400, "poplartrail-service"),
    ];
    for (call, status, remedy) in cases {
        let reply = upstream.send(&call).await.expect("the node answers");
        assert_eq!((reply.status, reply.outcome()), (status, "not-run"), "{call:?}");
        assert!(reply.text().contains(remedy), "{remedy:?} in {:?}", reply.text());
    }
    assert_eq!(fleet.caller(0).send(&Call::get("/")).await.unwrap().status, 200);
}

#[tokio::test]
async fn garbage_leaves_node_serving() {
    let fleet = Fleet::start(plan()).await;
    let node = &fleet.nodes[0];
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    for len in [1, 20, 1_200] {
        socket.send_to(&vec![0xc3; len], node.peers_addr).unwrap();
    }
    for addr in [node.callers_addr, node.report_addr] {
        let mut stream = std::net::TcpStream::connect(addr).unwrap();
        stream.write_all(b"\x00\xffnot http at all\r\n\r\n").unwrap();
    }
    assert_eq!(fleet.caller(0).send(&Call::get("/")).await.unwrap().status, 200);
}

#[tokio::test]
async fn foreign_authority_gets_no_calls() {
    let plan = FleetPlan::new(include_str!("bases/chain.toml"))
        .node(NodePlan::new("front-a1", "front", "zone-a").next_service("middle"))
        .node(NodePlan::new("middle-a1", "middle", "zone-a"));
    let mut fleet = Fleet::start(plan).await;
    // A node with a certificate of another authority announces itself for the service.
    fleet.authority = poplartrail_stand::certificates::CertificateAuthority::new();
    fleet.add_node(&NodePlan::new("middle-a2", "middle", "zone-a"));
    fleet
        .await_status(0, "aware of the foreign node", |status| {
            status["instances"].as_array().is_some_and(|known| known.len() == 2)
        })
        .await;
    for _ in 0..10 {
        let reply = fleet.caller(0).send(&Call::get("/")).await.unwrap();
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
    assert_eq!(fleet.upstream_counts(2).await.received, 0, "a call reached the foreign node");
}

#[tokio::test]
async fn mistyped_settings_prevent_start() {
    let fleet = Fleet::start(plan()).await;
    let dir = std::env::temp_dir().join(format!("poplartrail-settings-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let path = dir.join("node.toml");
    std::fs::write(&path, "[node]\nvm = 7\n").unwrap();
    let args = [path.display().to_string()];
    let mut daemon = poplartrail_stand::fleet::Process::start(&dir, "poplartraild", "bad", &args);
    assert_eq!(daemon.wait(std::time::Duration::from_secs(10)), Some(2));
    assert!(daemon.output().contains("vm"), "{}", daemon.output());
    drop(fleet);
}

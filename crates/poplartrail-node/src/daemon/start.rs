//! The threads of one process.

use std::{
    sync::Arc,
    thread::{Builder, JoinHandle},
    time::{Duration, Instant},
};

use metrics_exporter_prometheus::PrometheusBuilder;
use poplartrail_core::{
    engine::{CallsOptions, Node, NodeOptions},
    member::Member,
    names::RankName,
    policy::{Bounds, Policy, Rank, Ranks},
};
use poplartrail_settings::{document::SiteDocuments, node::NodeSettings};
use tokio::sync::watch;

use crate::{
    adapters::{
        ingress::{self, IngressOptions},
        peers::{self, PeersOptions, PeersTls},
        platform::{self, PlatformOptions},
        probe::{self, ProbeOptions},
        report::{self, ReportOptions},
        upstream::{self, UpstreamOptions},
    },
    daemon::DaemonError,
    decide::{self, Outlets},
    ports::{Clock, SystemClock, ring},
};

/// Rank of the policy that holds until a configuration has been read.
const FIRST_RANK: &str = "unconfigured";
/// Target of that rank.
const FIRST_TARGET: Duration = Duration::from_secs(1);
/// Room for fields around the bodies of messages between nodes, in bytes.
const MESSAGE_MARGIN: usize = 64 << 10;
/// Longest wait for the servers to close their connections after the last call.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two looks at threads that are ending.
const JOIN_PAUSE: Duration = Duration::from_millis(20);

/// Runs one node until it has been asked to stop and nothing is in progress.
pub fn run(settings: &NodeSettings) -> Result<(), DaemonError> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let clock = SystemClock::start();
    let tls = PeersTls::new(&settings.tls.ca, &settings.tls.cert, &settings.tls.key)?;
    let node = node(settings, clock);
    let len = settings.limits.ring_len;
    let (decide_tx, decide_rx) = ring(len);
    let (ingress_tx, ingress_rx) = ring(len);
    let (peers_tx, peers_rx) = ring(len);
    let (upstream_tx, upstream_rx) = ring(len);
    let (platform_tx, platform_rx) = ring(len);
    let (report_tx, report_rx) = ring(len);
    let (stopped_tx, mut stopped_rx) = watch::channel(false);
    let outlets = Outlets {
        ingress: ingress_tx,
        peers: peers_tx,
        upstream: upstream_tx,
        platform: platform_tx,
        report: report_tx,
    };

    let ingress_options = IngressOptions {
        callers: settings.listen.callers,
        upstream: settings.listen.upstream,
        service: settings.service.clone(),
        max_body_bytes: settings.limits.max_body_bytes,
        max_header_bytes: settings.limits.max_header_bytes,
        max_connections: settings.limits.max_connections,
        max_pending: len,
        clock,
    };
    let peers_options = PeersOptions {
        vm: settings.vm.clone(),
        listen: settings.listen.peers,
        tls,
        max_message_bytes: settings.limits.max_body_bytes + MESSAGE_MARGIN,
        // The ring also carries calls to other nodes, of which there are at most `max_calls`.
        max_pending: len.saturating_sub(settings.limits.max_calls).max(len / 2),
        clock,
    };
    let upstream_options = UpstreamOptions {
        vm: settings.vm.clone(),
        addr: settings.upstream.addr,
        connections: settings.upstream.connections,
        max_body_bytes: settings.limits.max_body_bytes,
        clock,
    };
    let platform_options = PlatformOptions {
        addr: settings.platform.addr,
        poll: settings.platform.poll,
        timeout: settings.platform.timeout,
        service: settings.service.clone(),
    };
    let report_options = ReportOptions {
        vm: settings.vm.clone(),
        listen: settings.listen.report,
        events: settings.limits.events,
        metrics,
    };

    thread("decide", move || {
        decide::run(node, &clock, &decide_rx, &outlets, &stopped_tx);
    })?;
    let (tx, stopped) = (decide_tx.clone(), stopped_rx.clone());
    let ingress_thread =
        thread("ingress", move || ingress::run(ingress_options, ingress_rx, &tx, &stopped))?;
    let tx = decide_tx.clone();
    let peers_thread = thread("peers", move || peers::run(peers_options, &peers_rx, &tx))?;
    let tx = decide_tx.clone();
    thread("upstream", move || upstream::run(upstream_options, &upstream_rx, &tx))?;
    let tx = decide_tx.clone();
    thread("platform", move || platform::run(platform_options, &platform_rx, &tx))?;
    let (tx, stopped) = (decide_tx.clone(), stopped_rx.clone());
    let report_thread =
        thread("report", move || report::run(report_options, report_rx, &tx, &stopped))?;
    if let Some(path) = settings.upstream.load_path.clone() {
        let options =
            ProbeOptions { addr: settings.upstream.addr, path, poll: settings.upstream.load_poll };
        thread("probe", move || probe::run(options, &decide_tx))?;
    }
    spdlog::info!("node {} of service {} started", settings.vm, settings.service);

    await_stop(&mut stopped_rx, settings);
    // For a while other nodes still route here; they are told to go elsewhere.
    std::thread::sleep(settings.stop.linger);
    await_end(&[&ingress_thread, &report_thread, &peers_thread], CLOSE_TIMEOUT);
    spdlog::info!("node {} stopped", settings.vm);
    Ok(())
}

fn thread(
    name: &'static str,
    duty: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, DaemonError> {
    Builder::new().name(name.to_owned()).spawn(duty).map_err(|err| DaemonError::Thread(name, err))
}

/// Waits until nothing is in progress, or the bound on a planned stop has passed.
fn await_stop(stopped: &mut watch::Receiver<bool>, settings: &NodeSettings) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async {
        let asked = async {
            let terminate = tokio::signal::unix::SignalKind::terminate();
            let interrupt = tokio::signal::unix::SignalKind::interrupt();
            let hangup = tokio::signal::unix::SignalKind::hangup();
            let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
                tokio::signal::unix::signal(terminate),
                tokio::signal::unix::signal(interrupt),
                tokio::signal::unix::signal(hangup),
            ) else {
                return std::future::pending().await;
            };
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => {}
            }
            tokio::time::sleep(settings.stop.drain).await;
            spdlog::warn!("calls in progress were cut off: raise stop.drain_s");
        };
        tokio::select! {
            _ = stopped.wait_for(|is_stopped| *is_stopped) => {}
            () = asked => {}
        }
    });
}

fn await_end(threads: &[&JoinHandle<()>], timeout: Duration) {
    let end = Instant::now() + timeout;
    while Instant::now() < end && threads.iter().any(|thread| !thread.is_finished()) {
        std::thread::sleep(JOIN_PAUSE);
    }
}

fn node(settings: &NodeSettings, clock: SystemClock) -> Node {
    let wall = clock.wall();
    let me = Member {
        vm: settings.vm.clone(),
        incarnation: wall.as_millis(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        addr: settings.listen.peers,
        report: settings.listen.report,
    };
    let calls = CallsOptions::new()
        .max_calls(settings.limits.max_calls)
        .ledger_bytes(settings.limits.ledger_bytes)
        .seed(rand::random());
    Node::new(NodeOptions {
        me,
        first_policy: Arc::new(first_policy()),
        calls,
        retention: settings.platform.retention,
        seeds: settings.seeds.clone(),
        source: Box::new(SiteDocuments::new(settings.site.clone())),
    })
}

/// A policy without services, under which every call is refused.
fn first_policy() -> Policy {
    let rank = Rank {
        name: RankName::new(FIRST_RANK).expect("the constant is a valid name"),
        target: FIRST_TARGET,
        worth: 1.0,
        is_urgent: false,
    };
    let ranks = Ranks::new(vec![rank]).expect("one rank with numbers in range is valid");
    Policy { ranks, services: Vec::new(), zones: Vec::new(), bounds: Bounds::default() }
}

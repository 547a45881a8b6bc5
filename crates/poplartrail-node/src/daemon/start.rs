//! Runs the daemon with the platform log.

use std::{
    sync::Arc,
    thread::{Builder, JoinHandle},
    time::Duration,
};

use metrics_exporter_prometheus::PrometheusBuilder;
use poplartrail_core::{
    engine::{CallOptions, Node, NodeOptions},
    member::Member,
    names::RankName,
    policy::{Bounds, Policy, Rank, Ranks},
};
use poplartrail_settings::{document::SitePolicySource, node::NodeSettings};
use tokio::sync::watch;

use crate::{
    adapters::{ingress, peers, platform, probe, report, upstream},
    daemon::{
        DaemonError, options,
        stop::{await_drained, await_threads},
    },
    decide::{self, OutputRings},
    ports::{Clock, SystemClock, ring},
};

/// Name of the only rank until a configuration has been read.
const INITIAL_RANK: &str = "unconfigured";
/// Target latency of the initial rank.
const INITIAL_TARGET: Duration = Duration::from_secs(1);

/// Runs one node until it has been asked to stop and has drained.
pub fn run(settings: &NodeSettings) -> Result<(), DaemonError> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let clock = SystemClock::start();
    let tls = peers::PeersTls::new(&settings.tls.ca, &settings.tls.cert, &settings.tls.key)?;
    let node = new_node(settings, clock);
    let len = settings.limits.ring_len;
    let (decide_tx, decide_rx) = ring(len);
    let (ingress_tx, ingress_rx) = ring(len);
    let (peers_tx, peers_rx) = ring(len);
    let (upstream_tx, upstream_rx) = ring(len);
    let (platform_tx, platform_rx) = ring(len);
    let (report_tx, report_rx) = ring(len);
    let (drained_tx, mut drained_rx) = watch::channel(false);
    let (exiting_tx, exiting_rx) = watch::channel(false);
    let rings = OutputRings {
        ingress: ingress_tx,
        peers: peers_tx,
        upstream: upstream_tx,
        platform: platform_tx,
        report: report_tx,
    };

    let ingress_options = options::ingress(settings, clock);
    let peers_options = options::peers(settings, tls, &drained_rx, clock);
    let upstream_options = options::upstream(settings, clock);
    let platform_options = options::platform(settings);
    let report_options = options::report(settings, metrics);

    spawn_thread("decide", move || {
        decide::run(node, &clock, &decide_rx, &rings, &drained_tx);
    })?;
    let (tx, drained) = (decide_tx.clone(), drained_rx.clone());
    let ingress_thread =
        spawn_thread("ingress", move || ingress::run(ingress_options, ingress_rx, &tx, &drained))?;
    let tx = decide_tx.clone();
    let peers_thread =
        spawn_thread("peers", move || peers::run(peers_options, &peers_rx, &tx, exiting_rx))?;
    let tx = decide_tx.clone();
    spawn_thread("upstream", move || upstream::run(upstream_options, &upstream_rx, &tx))?;
    let tx = decide_tx.clone();
    spawn_thread("platform", move || platform::run(platform_options, &platform_rx, &tx))?;
    let (tx, drained) = (decide_tx.clone(), drained_rx.clone());
    let report_thread =
        spawn_thread("report", move || report::run(report_options, report_rx, &tx, &drained))?;
    if let Some(options) = options::probe(settings) {
        spawn_thread("probe", move || probe::run(options, &decide_tx))?;
    }
    spdlog::info!("node {} of service {} started", settings.vm, settings.service);

    await_drained(&mut drained_rx, settings);
    // Other nodes may route calls here for a while yet; the node refuses these with a reason that
    // sends them elsewhere.
    std::thread::sleep(settings.stop.linger);
    exiting_tx.send_replace(true);
    await_threads(&[&ingress_thread, &report_thread, &peers_thread]);
    spdlog::info!("node {} stopped", settings.vm);
    Ok(())
}

pub(crate) fn spawn_thread(
    name: &'static str,
    duty: impl FnOnce() + Send + 'static,
) -> Result<JoinHandle<()>, DaemonError> {
    Builder::new().name(name.to_owned()).spawn(duty).map_err(|err| DaemonError::Thread(name, err))
}

fn new_node(settings: &NodeSettings, clock: SystemClock) -> Node {
    let wall = clock.wall();
    let local_member = Member {
        vm: settings.vm.clone(),
        incarnation: wall.as_millis(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        addr: settings.listen.peers,
        report_addr: settings.listen.report,
    };
    let call_options = CallOptions::new()
        .max_calls(settings.limits.max_calls)
        .ledger_bytes(settings.limits.ledger_bytes)
        .seed(rand::random());
    Node::new(NodeOptions {
        local_member,
        initial_policy: Arc::new(initial_policy()),
        call_options,
        retention: settings.platform.retention,
        seeds: settings.seeds.clone(),
        policy_source: Box::new(SitePolicySource::new(settings.site.clone())),
    })
}

/// Returns the policy that holds until a configuration has been read: it has no services, so that
/// every call is refused.
pub(crate) fn initial_policy() -> Policy {
    let rank = Rank {
        name: RankName::new(INITIAL_RANK).expect("the constant is a valid name"),
        target: INITIAL_TARGET,
        worth: 1.0,
        is_urgent: false,
    };
    let ranks = Ranks::new(vec![rank]).expect("one rank with numbers in range is valid");
    Policy { ranks, services: Vec::new(), zones: Vec::new(), bounds: Bounds::default() }
}

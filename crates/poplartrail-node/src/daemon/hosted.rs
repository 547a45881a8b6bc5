//! The threads of a process that a platform runs.

use std::{
    sync::Arc,
    thread::{JoinHandle, sleep},
    time::Duration,
};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use poplartrail_core::{
    engine::{CallOptions, Input, Mechanisms, Node, NodeOptions},
    member::Member,
};
use poplartrail_platform::PlatformPolicySource;
use poplartrail_settings::node::HostedSettings;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use tokio::sync::watch;

use crate::{
    adapters::{
        front::{self, FrontOptions},
        peers::{self, PeersOptions, PeersTls},
        report::{self, ReportOptions},
        store::{self, StoreOptions},
        upstream::{self, HostedUpstreamOptions},
    },
    daemon::{
        DaemonError,
        options::MESSAGE_MARGIN,
        start::{first_policy, thread},
    },
    decide::{self, Outlets},
    ports::{Clock, DecideMessage, RingSender, SystemClock, ring},
};

/// Part of the grace period that is kept for the end of the process itself.
const EXIT_MARGIN: Duration = Duration::from_millis(600);
/// Time after the signal in which callers on the VM still send new work: two readiness checks a
/// second apart, and the requests that were on their way.
const CALLERS_LEAVE: Duration = Duration::from_millis(2300);
/// Time in which the last answers are written.
const LAST_WORDS: Duration = Duration::from_millis(150);
/// Pause before a step of the stop is offered again to a full ring.
const FULL_PAUSE: Duration = Duration::from_millis(10);
/// Time between two looks at whether anything is in progress.
const LOOK_PAUSE: Duration = Duration::from_millis(100);
/// Shortest silence between nodes that counts. A node with a fraction of a core may not run for a
/// tenth of a second at a time, and several such pauses may follow each other under load.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// Idle connections to the upstream that are kept.
const MAX_IDLE: usize = 256;

/// Runs one node until the platform ends it.
///
/// # Errors
///
/// The process lacks what it needs to start; the message names the remedy.
pub fn run_hosted(settings: &HostedSettings) -> Result<(), DaemonError> {
    let metrics = PrometheusBuilder::new()
        .install_recorder()
        .map_err(|err| DaemonError::Metrics(err.to_string()))?;
    let clock = SystemClock::start();
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP]).map_err(DaemonError::Signals)?;
    let (shutting_down_tx, shutting_down) = watch::channel(false);
    let (drained_tx, drained) = watch::channel(false);
    let threads = spawn(settings, clock, metrics, &shutting_down, drained_tx)?;
    spdlog::info!(
        "node {} of service {} in {} started", settings.vm, settings.service, settings.zone,
        kv: { event = "start", upstream = settings.upstream_addr.to_string().as_str() }
    );
    await_stop(signals);
    spdlog::info!("node {} is leaving", settings.vm, kv: { event = "stop" });
    shutting_down_tx.send_replace(true);
    leave(settings, &threads.decide, &drained);
    threads.hang_up();
    spdlog::info!("node {} stopped", settings.vm, kv: { event = "stopped" });
    Ok(())
}

/// What is needed of the threads to end the process.
struct Threads {
    decide: RingSender<DecideMessage>,
    peers: JoinHandle<()>,
    exiting: watch::Sender<bool>,
}

impl Threads {
    /// Ends the connections to other nodes, so that none waits for an answer from here.
    fn hang_up(self) {
        self.exiting.send_replace(true);
        if self.peers.join().is_err() {
            spdlog::warn!("the peers thread panicked: see the lines before");
        }
    }
}

/// Starts a thread for each duty.
fn spawn(
    settings: &HostedSettings,
    clock: SystemClock,
    metrics: PrometheusHandle,
    shutting_down: &watch::Receiver<bool>,
    drained: decide::DrainedSender,
) -> Result<Threads, DaemonError> {
    let len = settings.limits.ring_len;
    let (decide_tx, decide_rx) = ring(len);
    let (ingress, front_rx) = ring(len);
    let (peers_tx, peers_rx) = ring(len);
    let (upstream, upstream_rx) = ring(len);
    let (platform, store_rx) = ring(len);
    let (report, report_rx) = ring(len);
    let outlets = Outlets { ingress, peers: peers_tx, upstream, platform, report };

    let peers_options = peers_options(settings, clock)?;
    let node = node(settings, clock);
    thread("decide", move || decide::run(node, &clock, &decide_rx, &outlets, &drained))?;
    let (tx, options) = (decide_tx.clone(), front_options(settings, clock));
    let front_shutting_down = shutting_down.clone();
    thread("front", move || front::run(options, front_rx, &tx, &front_shutting_down))?;
    let tx = decide_tx.clone();
    let (exiting, exiting_rx) = watch::channel(false);
    let peers = thread("peers", move || peers::run(peers_options, &peers_rx, &tx, exiting_rx))?;
    let (tx, options) = (decide_tx.clone(), direct_options(settings, clock));
    thread("upstream", move || upstream::run_hosted(options, &upstream_rx, &tx))?;
    let (tx, options) = (decide_tx.clone(), StoreOptions { addr: settings.store_addr, clock });
    thread("store", move || store::run(options, &store_rx, &tx))?;
    let (tx, options) = (decide_tx.clone(), report_options(settings, metrics));
    let report_shutting_down = shutting_down.clone();
    thread("report", move || report::run_hosted(options, report_rx, &tx, &report_shutting_down))?;
    Ok(Threads { decide: decide_tx, peers, exiting })
}

/// Waits, parked, for the signal to stop.
fn await_stop(mut signals: Signals) {
    for signal in signals.forever() {
        if signal != SIGHUP {
            return;
        }
        // Addresses and bounds are those of the start; the platform restarts a process whose
        // place has changed.
        spdlog::info!("settings are kept until the next start", kv: { event = "reload" });
    }
}

/// Goes on serving until callers have left and nothing is in progress, within the grace period.
fn leave(
    settings: &HostedSettings,
    decide: &RingSender<DecideMessage>,
    drained: &watch::Receiver<bool>,
) {
    let longest = settings.grace_period.saturating_sub(EXIT_MARGIN);
    let mut waited = Duration::ZERO;
    tell(decide, Input::Drain);
    sleep(CALLERS_LEAVE.min(longest / 2));
    waited += CALLERS_LEAVE.min(longest / 2);
    tell(decide, Input::Close);
    while waited < longest && !*drained.borrow() {
        sleep(LOOK_PAUSE);
        waited += LOOK_PAUSE;
    }
    tell(decide, Input::Terminate);
    sleep(LAST_WORDS);
}

/// Hands a step of the stop to the decide thread, whose ring may be full for a moment.
fn tell(decide: &RingSender<DecideMessage>, step: Input) {
    let mut message = DecideMessage::Input(step);
    while let Err(back) = decide.try_send(message) {
        message = back;
        sleep(FULL_PAUSE);
    }
}

fn node(settings: &HostedSettings, clock: SystemClock) -> Node {
    let me = Member {
        vm: settings.vm.clone(),
        incarnation: clock.wall().as_millis(),
        service: settings.service.clone(),
        zone: settings.zone.clone(),
        addr: settings.listen.peers,
        report_addr: settings.listen.report,
    };
    let mechanisms = Mechanisms {
        // Upstreams take up to seconds for their work, and every rank waits in one queue; what the
        // network acknowledges tells a dead connection from that.
        has_answer_watchdog: false,
        has_deduplication: false,
        ..Mechanisms::default()
    };
    let calls = CallOptions::new()
        .max_calls(settings.limits.max_calls)
        .ledger_bytes(settings.limits.ledger_bytes)
        .mechanisms(mechanisms)
        .divides_capacity(false)
        .seed(rand::random());
    let mut policy = first_policy();
    policy.bounds = settings.bounds.clone();
    Node::new(NodeOptions {
        local_member: me,
        initial_policy: Arc::new(policy),
        call_options: calls,
        retention: Duration::MAX,
        seeds: Vec::new(),
        policy_source: Box::new(PlatformPolicySource),
    })
    .hosted(settings.upstream_addr)
}

fn front_options(settings: &HostedSettings, clock: SystemClock) -> FrontOptions<SystemClock> {
    FrontOptions {
        listen_requests: settings.listen.requests,
        listen_ready: settings.listen.ready,
        listen_control: settings.listen.control,
        max_connections: settings.limits.max_connections,
        max_pending: settings.limits.ring_len,
        clock,
    }
}

fn peers_options(
    settings: &HostedSettings,
    clock: SystemClock,
) -> Result<PeersOptions<SystemClock>, DaemonError> {
    Ok(PeersOptions {
        vm: settings.vm.clone(),
        listen: settings.listen.peers,
        tls: PeersTls::self_signed(&settings.vm)?,
        max_message_bytes: settings.limits.max_body_bytes + MESSAGE_MARGIN,
        max_pending: settings.limits.max_calls,
        min_silence: MIN_SILENCE,
        clock,
    })
}

fn direct_options(
    settings: &HostedSettings,
    clock: SystemClock,
) -> HostedUpstreamOptions<SystemClock> {
    HostedUpstreamOptions {
        addr: settings.upstream_addr,
        max_idle: MAX_IDLE,
        max_body_bytes: settings.limits.max_body_bytes,
        clock,
    }
}

fn report_options(settings: &HostedSettings, metrics: PrometheusHandle) -> ReportOptions {
    ReportOptions {
        vm: settings.vm.clone(),
        listen: settings.listen.report,
        max_events: settings.limits.max_events,
        metrics,
    }
}

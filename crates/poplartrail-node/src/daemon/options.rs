//! Translates the settings of the process into the options of each thread.

use std::time::Duration;

use metrics_exporter_prometheus::PrometheusHandle;
use poplartrail_settings::node::NodeSettings;
use tokio::sync::watch;

use crate::{
    adapters::{
        budgets::ByteBudgets,
        ingress::IngressOptions,
        peers::{PeersOptions, PeersTls},
        platform::PlatformOptions,
        probe::ProbeOptions,
        report::ReportOptions,
        unsent::UnsentReplies,
        upstream::UpstreamOptions,
    },
    ports::SystemClock,
};

/// Shortest time without acknowledgements after which a connection to another node counts as
/// silent: several times the delay of an acknowledgement.
const MIN_SILENCE: Duration = Duration::from_millis(100);
/// Maximum size of a message between nodes beyond the body that it carries.
pub(crate) const MESSAGE_OVERHEAD_BYTES: usize = 64 << 10;

pub(crate) fn ingress(settings: &NodeSettings, clock: SystemClock) -> IngressOptions<SystemClock> {
    IngressOptions {
        listen_callers: settings.listen.callers,
        listen_upstream: settings.listen.upstream,
        service: settings.service.clone(),
        max_body_bytes: settings.limits.max_body_bytes,
        max_header_bytes: settings.limits.max_header_bytes,
        max_connections: settings.limits.max_connections,
        max_pending: settings.limits.ring_len,
        clock,
    }
}

pub(crate) fn peers(
    settings: &NodeSettings,
    tls: PeersTls,
    drained: &watch::Receiver<bool>,
    clock: SystemClock,
) -> PeersOptions<SystemClock> {
    let len = settings.limits.ring_len;
    PeersOptions {
        vm: settings.vm.clone(),
        listen: settings.listen.peers,
        tls,
        max_message_bytes: settings.limits.max_body_bytes + MESSAGE_OVERHEAD_BYTES,
        budgets: ByteBudgets::unlimited(),
        // The ring also carries calls to other nodes, at most `max_calls` of them.
        max_pending: len.saturating_sub(settings.limits.max_calls).max(len / 2),
        min_silence: MIN_SILENCE,
        unsent: UnsentReplies::default(),
        shutting_down: drained.clone(),
        clock,
    }
}

pub(crate) fn upstream(
    settings: &NodeSettings,
    clock: SystemClock,
) -> UpstreamOptions<SystemClock> {
    UpstreamOptions {
        vm: settings.vm.clone(),
        addr: settings.upstream.addr,
        max_idle: settings.upstream.max_idle_connections,
        max_body_bytes: settings.limits.max_body_bytes,
        clock,
    }
}

pub(crate) fn platform(settings: &NodeSettings) -> PlatformOptions {
    PlatformOptions {
        addr: settings.platform.addr,
        poll_interval: settings.platform.poll_interval,
        timeout: settings.platform.request_timeout,
        service: settings.service.clone(),
    }
}

pub(crate) fn report(settings: &NodeSettings, metrics: PrometheusHandle) -> ReportOptions {
    ReportOptions {
        budgets: ByteBudgets::unlimited(),
        vm: settings.vm.clone(),
        listen: settings.listen.report,
        max_events: settings.limits.max_events,
        metrics,
    }
}

/// Returns the options of the probe thread, or `None` if the upstream has no load endpoint.
pub(crate) fn probe(settings: &NodeSettings) -> Option<ProbeOptions> {
    let path = settings.upstream.load_path.clone()?;
    Some(ProbeOptions {
        addr: settings.upstream.addr,
        path,
        poll_interval: settings.upstream.load_poll_interval,
    })
}

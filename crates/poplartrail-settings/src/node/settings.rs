//! Settings of a node that is not hosted, with every value checked.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use poplartrail_core::names::{NameError, RegionName, ServiceName, SiteName, VmName, ZoneName};

use crate::{
    SettingsError,
    node::file::{LimitsTable, ListenTable, NodeFile, PlatformTable, StopTable, UpstreamTable},
};

/// Addresses that the node binds.
#[derive(Debug, Clone)]
pub struct ListenAddrs {
    /// HTTP server for requests of callers.
    pub callers: SocketAddr,
    /// HTTP server for outbound calls of the local upstream.
    pub upstream: SocketAddr,
    /// UDP socket for messages of other nodes.
    pub peers: SocketAddr,
    /// HTTP server for health, metrics, status and events.
    pub report: SocketAddr,
}

/// How the node reaches the upstream on its VM.
#[derive(Debug, Clone)]
pub struct UpstreamSettings {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Path of the upstream's load endpoint; `None` if the upstream has none.
    pub load_path: Option<String>,
    /// Interval between reads of the load endpoint.
    pub load_poll_interval: Duration,
    /// Maximum number of idle connections to the upstream that are kept open.
    pub max_idle_connections: usize,
}

/// How the node reads the platform log and appends to it.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address of the platform log.
    pub addr: SocketAddr,
    /// Mean interval between reads while the log is reachable; actual intervals are randomized.
    pub poll_interval: Duration,
    /// Time after which a request to the log counts as unanswered.
    pub request_timeout: Duration,
    /// Time for which the log keeps records.
    pub retention: Duration,
}

/// Certificates and key for connections between nodes.
#[derive(Debug, Clone)]
pub struct TlsSettings {
    /// Certificate authority that signs the certificates of all nodes, in PEM format.
    pub ca: Vec<u8>,
    /// Certificate chain of this node, in PEM format.
    pub cert: Vec<u8>,
    /// Private key of this node, in PEM format.
    pub key: Vec<u8>,
}

/// Bounds on sizes and counts, which protect the process itself.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Maximum size of the body of a request or an answer, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of the header of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of calls in progress, including queued ones.
    pub max_calls: usize,
    /// Maximum number of connections to each of the servers for callers and the local upstream.
    pub max_connections: usize,
    /// Capacity of each ring between two threads, in messages.
    pub ring_len: usize,
    /// Memory limit for the outcomes of idempotency keys, in bytes.
    pub ledger_bytes: usize,
    /// Maximum number of events that the report server keeps; the oldest are dropped first.
    pub max_events: usize,
}

/// Time limits of a planned stop.
#[derive(Debug, Clone)]
pub struct StopSettings {
    /// Maximum time for calls in progress to finish; those left are then cut off.
    pub drain_timeout: Duration,
    /// Time for which the node keeps refusing calls after the last one has finished.
    ///
    /// Other nodes still route calls here for a while, and a refusal sends them elsewhere.
    pub linger: Duration,
}

/// Settings of one node process that is not hosted: it gets configuration and members from the
/// platform log.
///
/// A process that a platform runs has [`HostedSettings`](crate::node::HostedSettings) instead.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Service that the local upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Site whose overlay applies to the node.
    pub site: SiteName,
    /// Addresses that the node binds.
    pub listen: ListenAddrs,
    /// Access to the local upstream.
    pub upstream: UpstreamSettings,
    /// Access to the platform log.
    pub platform: PlatformSettings,
    /// Certificates and key for connections between nodes.
    pub tls: TlsSettings,
    /// Bounds on sizes and counts.
    pub limits: Limits,
    /// Time limits of a planned stop.
    pub stop: StopSettings,
    /// Other nodes, with their peer addresses, that the node asks for the configuration and the
    /// members while it starts, so that it can start while the platform log is down.
    pub seeds: Vec<(VmName, SocketAddr)>,
}

impl NodeSettings {
    /// Reads and checks the file at `path`, and reads the PEM files that it names.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = read_file(&path.display().to_string())?;
        let text = String::from_utf8_lossy(&text);
        Self::parse(&path.display().to_string(), &text, &mut |pem| read_file(pem))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// `file_name` names the file in error messages, and `read_pem` returns the content of a PEM
    /// file by its path.
    pub fn parse(
        file_name: &str,
        text: &str,
        read_pem: &mut dyn FnMut(&str) -> Result<Vec<u8>, SettingsError>,
    ) -> Result<Self, SettingsError> {
        let file: NodeFile = toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(file_name.to_owned(), err.to_string()))?;
        let seeds = file.seed.iter().map(|seed| {
            let vm = name_in_field("seed.vm", VmName::new(&seed.vm))?;
            Ok((vm, parse_addr("seed.addr", &seed.addr)?))
        });
        Ok(Self {
            vm: name_in_field("node.vm", VmName::new(&file.node.vm))?,
            service: name_in_field("node.service", ServiceName::new(&file.node.service))?,
            zone: name_in_field("node.zone", ZoneName::new(&file.node.zone))?,
            region: name_in_field("node.region", RegionName::new(&file.node.region))?,
            site: name_in_field("node.site", SiteName::new(&file.node.site))?,
            listen: listen_addrs(&file.listen)?,
            upstream: upstream_settings(&file.upstream)?,
            platform: platform_settings(&file.platform)?,
            tls: TlsSettings {
                ca: read_pem(&file.tls.ca)?,
                cert: read_pem(&file.tls.cert)?,
                key: read_pem(&file.tls.key)?,
            },
            limits: limits(&file.limits)?,
            stop: stop_settings(&file.stop)?,
            seeds: seeds.collect::<Result<_, SettingsError>>()?,
        })
    }
}

fn read_file(path: &str) -> Result<Vec<u8>, SettingsError> {
    fs::read(path).map_err(|err| SettingsError::Unreadable(path.to_owned(), err.to_string()))
}

/// Adds the name of the field to the error of an invalid name.
pub(crate) fn name_in_field<T>(
    field: &'static str,
    name: Result<T, NameError>,
) -> Result<T, SettingsError> {
    name.map_err(|err| SettingsError::InvalidName(field, err))
}

pub(crate) fn parse_addr(field: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::InvalidAddr(field, text.to_owned()))
}

/// Returns `value`, or `default` if it is absent, provided that it lies in `min..=max`.
pub(crate) fn in_range(
    field: &'static str,
    value: Option<u64>,
    default: u64,
    min: u64,
    max: u64,
) -> Result<u64, SettingsError> {
    let value = value.unwrap_or(default);
    if (min..=max).contains(&value) {
        Ok(value)
    } else {
        Err(SettingsError::OutOfRange(field, value, min, max))
    }
}

fn listen_addrs(table: &ListenTable) -> Result<ListenAddrs, SettingsError> {
    Ok(ListenAddrs {
        callers: parse_addr("listen.callers", &table.callers)?,
        upstream: parse_addr("listen.upstream", &table.upstream)?,
        peers: parse_addr("listen.peers", &table.peers)?,
        report: parse_addr("listen.report", &table.report)?,
    })
}

fn upstream_settings(table: &UpstreamTable) -> Result<UpstreamSettings, SettingsError> {
    let poll = in_range("upstream.load_poll_ms", table.load_poll_ms, 1_000, 50, 60_000)?;
    Ok(UpstreamSettings {
        addr: parse_addr("upstream.addr", &table.addr)?,
        load_path: table.load_path.clone(),
        load_poll_interval: Duration::from_millis(poll),
        max_idle_connections: in_range("upstream.connections", table.connections, 256, 1, 100_000)?
            as usize,
    })
}

fn platform_settings(table: &PlatformTable) -> Result<PlatformSettings, SettingsError> {
    let poll = in_range("platform.poll_ms", table.poll_ms, 5_000, 20, 60_000)?;
    let timeout = in_range("platform.timeout_ms", table.timeout_ms, 2_000, 10, 60_000)?;
    let retention = in_range("platform.retention_s", table.retention_s, 86_400, 10, 31_536_000)?;
    Ok(PlatformSettings {
        addr: parse_addr("platform.addr", &table.addr)?,
        poll_interval: Duration::from_millis(poll),
        request_timeout: Duration::from_millis(timeout),
        retention: Duration::from_secs(retention),
    })
}

pub(crate) fn limits(table: &LimitsTable) -> Result<Limits, SettingsError> {
    let body = in_range("limits.max_body_bytes", table.max_body_bytes, 1 << 20, 1, 1 << 30)?;
    let header =
        in_range("limits.max_header_bytes", table.max_header_bytes, 16_384, 8_192, 1 << 20)?;
    let calls = in_range("limits.max_calls", table.max_calls, 4_096, 1, 1_000_000)?;
    let connections =
        in_range("limits.max_connections", table.max_connections, 1_024, 1, 1_000_000)?;
    let ring = in_range("limits.ring_len", table.ring_len, 8_192, 16, 1_000_000)?;
    let ledger = in_range("limits.ledger_mb", table.ledger_mb, 32, 1, 65_536)?;
    let events = in_range("limits.events", table.events, 4_096, 16, 1_000_000)?;
    Ok(Limits {
        max_body_bytes: body as usize,
        max_header_bytes: header as usize,
        max_calls: calls as usize,
        max_connections: connections as usize,
        ring_len: ring as usize,
        ledger_bytes: (ledger as usize) << 20,
        max_events: events as usize,
    })
}

fn stop_settings(table: &StopTable) -> Result<StopSettings, SettingsError> {
    let drain = in_range("stop.drain_s", table.drain_s, 60, 1, 86_400)?;
    let linger = in_range("stop.linger_ms", table.linger_ms, 2_000, 0, 600_000)?;
    Ok(StopSettings {
        drain_timeout: Duration::from_secs(drain),
        linger: Duration::from_millis(linger),
    })
}

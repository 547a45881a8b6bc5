//! Checked settings.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use poplartrail_core::names::{NameError, RegionName, ServiceName, SiteName, VmName, ZoneName};

use crate::{
    SettingsError,
    node::file::{LimitsPart, ListenPart, NodeFile, PlatformPart, StopPart, UpstreamPart},
};

/// Addresses on which the node listens.
#[derive(Debug, Clone)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for the outbound calls of the own upstream.
    pub upstream: SocketAddr,
    /// UDP for other nodes.
    pub peers: SocketAddr,
    /// HTTP for health, metrics, status and events.
    pub report: SocketAddr,
}

/// The upstream on the VM.
#[derive(Debug, Clone)]
pub struct Upstream {
    /// Its address.
    pub addr: SocketAddr,
    /// Path of its load endpoint, if it has one.
    pub load_path: Option<String>,
    /// Time between two reads of the load endpoint.
    pub load_poll_interval: Duration,
    /// Connections to it at most.
    pub max_idle_connections: usize,
}

/// The platform log.
#[derive(Debug, Clone)]
pub struct Platform {
    /// Its address.
    pub addr: SocketAddr,
    /// Mean time between two reads.
    pub poll_interval: Duration,
    /// Time after which a request counts as unanswered.
    pub request_timeout: Duration,
    /// Time for which it keeps records.
    pub retention: Duration,
}

/// Certificates.
#[derive(Debug, Clone)]
pub struct Tls {
    /// Certificate authority, PEM.
    pub ca: Vec<u8>,
    /// Certificate chain of the node, PEM.
    pub cert: Vec<u8>,
    /// Private key of the node, PEM.
    pub key: Vec<u8>,
}

/// Bounds on sizes and counts.
#[derive(Debug, Clone)]
pub struct Limits {
    /// Largest body of a request or an answer.
    pub max_body_bytes: usize,
    /// Largest header of a request.
    pub max_header_bytes: usize,
    /// Calls in progress, waiting ones included.
    pub max_calls: usize,
    /// Connections that the servers for callers and for the own upstream may each have.
    pub max_connections: usize,
    /// Messages in a ring between two threads.
    pub ring_len: usize,
    /// Memory for outcomes of keys, in bytes.
    pub ledger_bytes: usize,
    /// Events kept for the time line.
    pub max_events: usize,
}

/// The planned stop.
#[derive(Debug, Clone)]
pub struct Stop {
    /// Longest time for calls in progress to finish.
    pub drain_timeout: Duration,
    /// Time for which the node goes on refusing after the last call.
    pub linger: Duration,
}

/// The settings of one process.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// VM of the node.
    pub vm: VmName,
    /// Service of its upstream.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// The site whose overlay holds.
    pub site: SiteName,
    /// Addresses on which it listens.
    pub listen: Listen,
    /// The upstream on the VM.
    pub upstream: Upstream,
    /// The platform log.
    pub platform: Platform,
    /// Certificates.
    pub tls: Tls,
    /// Bounds on sizes and counts.
    pub limits: Limits,
    /// The planned stop.
    pub stop: Stop,
    /// Nodes to ask while the platform log is down.
    pub seeds: Vec<(VmName, SocketAddr)>,
}

impl NodeSettings {
    /// Reads and checks the file at `path` and the PEM files that it names.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let text = read(&path.display().to_string())?;
        let text = String::from_utf8_lossy(&text);
        Self::parse(&path.display().to_string(), &text, &mut |pem| read(pem))
    }

    /// Checks the text of a settings file; `read_pem` supplies the files that it names.
    pub fn parse(
        document: &str,
        text: &str,
        read_pem: &mut dyn FnMut(&str) -> Result<Vec<u8>, SettingsError>,
    ) -> Result<Self, SettingsError> {
        let file: NodeFile = toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(document.to_owned(), err.to_string()))?;
        let seeds = file.seed.iter().map(|seed| {
            let vm = name("seed.vm", VmName::new(&seed.vm))?;
            Ok((vm, address("seed.addr", &seed.addr)?))
        });
        Ok(Self {
            vm: name("node.vm", VmName::new(&file.node.vm))?,
            service: name("node.service", ServiceName::new(&file.node.service))?,
            zone: name("node.zone", ZoneName::new(&file.node.zone))?,
            region: name("node.region", RegionName::new(&file.node.region))?,
            site: name("node.site", SiteName::new(&file.node.site))?,
            listen: listen(&file.listen)?,
            upstream: upstream(&file.upstream)?,
            platform: platform(&file.platform)?,
            tls: Tls {
                ca: read_pem(&file.tls.ca)?,
                cert: read_pem(&file.tls.cert)?,
                key: read_pem(&file.tls.key)?,
            },
            limits: limits(&file.limits)?,
            stop: stop(&file.stop)?,
            seeds: seeds.collect::<Result<_, SettingsError>>()?,
        })
    }
}

fn read(path: &str) -> Result<Vec<u8>, SettingsError> {
    fs::read(path).map_err(|err| SettingsError::Unreadable(path.to_owned(), err.to_string()))
}

pub(crate) fn name<T>(field: &'static str, name: Result<T, NameError>) -> Result<T, SettingsError> {
    name.map_err(|err| SettingsError::Name(field, err))
}

pub(crate) fn address(field: &'static str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| SettingsError::BadAddress(field, text.to_owned()))
}

/// `value`, or `default` if it is not stated, checked against `min..=max`.
pub(crate) fn number(
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

fn listen(part: &ListenPart) -> Result<Listen, SettingsError> {
    Ok(Listen {
        callers: address("listen.callers", &part.callers)?,
        upstream: address("listen.upstream", &part.upstream)?,
        peers: address("listen.peers", &part.peers)?,
        report: address("listen.report", &part.report)?,
    })
}

fn upstream(part: &UpstreamPart) -> Result<Upstream, SettingsError> {
    let poll = number("upstream.load_poll_ms", part.load_poll_ms, 1_000, 50, 60_000)?;
    Ok(Upstream {
        addr: address("upstream.addr", &part.addr)?,
        load_path: part.load_path.clone(),
        load_poll_interval: Duration::from_millis(poll),
        max_idle_connections: number("upstream.connections", part.connections, 256, 1, 100_000)?
            as usize,
    })
}

fn platform(part: &PlatformPart) -> Result<Platform, SettingsError> {
    let poll = number("platform.poll_ms", part.poll_ms, 5_000, 20, 60_000)?;
    let timeout = number("platform.timeout_ms", part.timeout_ms, 2_000, 10, 60_000)?;
    let retention = number("platform.retention_s", part.retention_s, 86_400, 10, 31_536_000)?;
    Ok(Platform {
        addr: address("platform.addr", &part.addr)?,
        poll_interval: Duration::from_millis(poll),
        request_timeout: Duration::from_millis(timeout),
        retention: Duration::from_secs(retention),
    })
}

pub(crate) fn limits(part: &LimitsPart) -> Result<Limits, SettingsError> {
    let body = number("limits.max_body_bytes", part.max_body_bytes, 1 << 20, 1, 1 << 30)?;
    let header = number("limits.max_header_bytes", part.max_header_bytes, 16_384, 8_192, 1 << 20)?;
    let calls = number("limits.max_calls", part.max_calls, 4_096, 1, 1_000_000)?;
    let connections = number("limits.max_connections", part.max_connections, 1_024, 1, 1_000_000)?;
    let ring = number("limits.ring_len", part.ring_len, 8_192, 16, 1_000_000)?;
    let ledger = number("limits.ledger_mb", part.ledger_mb, 32, 1, 65_536)?;
    let events = number("limits.events", part.events, 4_096, 16, 1_000_000)?;
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

fn stop(part: &StopPart) -> Result<Stop, SettingsError> {
    let drain = number("stop.drain_s", part.drain_s, 60, 1, 86_400)?;
    let linger = number("stop.linger_ms", part.linger_ms, 2_000, 0, 600_000)?;
    Ok(Stop { drain_timeout: Duration::from_secs(drain), linger: Duration::from_millis(linger) })
}

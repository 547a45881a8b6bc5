//! Settings of a process that a platform runs.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use poplartrail_core::{
    names::{RegionName, ServiceName, VmName, ZoneName},
    policy::{Bounds, PolicyError},
};
use serde::Deserialize;

use crate::{
    SettingsError,
    node::{
        file::LimitsPart,
        settings::{Limits, address, limits, name, number},
    },
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NodePart {
    vm: String,
    service: String,
    zone: String,
    region: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenPart {
    requests: String,
    ready: String,
    control: String,
    peers: String,
    report: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamPart {
    addr: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StorePart {
    addr: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RetriesPart {
    ratio: f64,
    burst: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StopPart {
    grace_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostedFile {
    node: NodePart,
    listen: ListenPart,
    upstream: UpstreamPart,
    store: StorePart,
    retries: RetriesPart,
    stop: StopPart,
    #[serde(default)]
    limits: LimitsPart,
}

/// Addresses on which the node listens.
#[derive(Debug, Clone)]
pub struct HostedListen {
    /// HTTP for callers and for the own upstream's calls.
    pub requests: SocketAddr,
    /// HTTP for readiness checks.
    pub ready: SocketAddr,
    /// HTTP for the own upstream's heartbeats.
    pub control: SocketAddr,
    /// UDP for other nodes.
    pub peers: SocketAddr,
    /// HTTP for health, metrics, status and events.
    pub report: SocketAddr,
}

/// The settings of one process that a platform runs.
#[derive(Debug, Clone)]
pub struct HostedSettings {
    /// VM of the node.
    pub vm: VmName,
    /// Service of its upstream.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Addresses on which it listens.
    pub listen: HostedListen,
    /// Address of its upstream.
    pub upstream_addr: SocketAddr,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Bounds of the decisions.
    pub bounds: Bounds,
    /// Time from the signal to stop until the platform ends the process.
    pub grace_period: Duration,
    /// Bounds on sizes and counts.
    pub limits: Limits,
}

impl HostedSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is no TOML of the expected form, or a value is out of range.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let document = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(document.clone(), err.to_string()))?;
        Self::parse(&document, &text)
    }

    /// Checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// The text is no TOML of the expected form, or a value is out of range.
    pub fn parse(document: &str, text: &str) -> Result<Self, SettingsError> {
        let file: HostedFile = toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(document.to_owned(), err.to_string()))?;
        let policy = |err: PolicyError| SettingsError::Policy(document.to_owned(), err);
        let bounds = Bounds::builder()
            .retry_ratio(file.retries.ratio)
            .retry_burst(file.retries.burst)
            .build()
            .map_err(policy)?;
        Ok(Self {
            vm: name("node.vm", VmName::new(&file.node.vm))?,
            service: name("node.service", ServiceName::new(&file.node.service))?,
            zone: name("node.zone", ZoneName::new(&file.node.zone))?,
            region: name("node.region", RegionName::new(&file.node.region))?,
            listen: listen(&file.listen)?,
            upstream_addr: address("upstream.addr", &file.upstream.addr)?,
            store_addr: address("store.addr", &file.store.addr)?,
            bounds,
            grace_period: grace(file.stop.grace_s)?,
            limits: limits(&file.limits)?,
        })
    }
}

fn listen(part: &ListenPart) -> Result<HostedListen, SettingsError> {
    Ok(HostedListen {
        requests: address("listen.requests", &part.requests)?,
        ready: address("listen.ready", &part.ready)?,
        control: address("listen.control", &part.control)?,
        peers: address("listen.peers", &part.peers)?,
        report: address("listen.report", &part.report)?,
    })
}

fn grace(seconds: f64) -> Result<Duration, SettingsError> {
    let millis = number("stop.grace_s", Some(seconds.max(0.0) as u64), 0, 1, 3600);
    millis.map(|_| Duration::from_secs_f64(seconds))
}

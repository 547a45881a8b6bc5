//! Settings of a hosted process, which a platform runs.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use poplartrail_core::{
    names::{RegionName, ServiceName, VmName, ZoneName},
    policy::{Bounds, PolicyError},
};
use serde::Deserialize;

use crate::{
    SettingsError,
    node::{
        file::LimitsTable,
        settings::{Limits, in_range, limits, name_in_field, parse_addr},
    },
};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct NodeTable {
    vm: String,
    service: String,
    zone: String,
    region: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ListenTable {
    requests: String,
    ready: String,
    control: String,
    peers: String,
    report: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamTable {
    addr: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreTable {
    addr: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RetriesTable {
    ratio: f64,
    burst: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StopTable {
    grace_s: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct HostedFile {
    node: NodeTable,
    listen: ListenTable,
    upstream: UpstreamTable,
    store: StoreTable,
    retries: RetriesTable,
    stop: StopTable,
    #[serde(default)]
    limits: LimitsTable,
}

/// Addresses that a hosted node binds.
#[derive(Debug, Clone)]
pub struct HostedListenAddrs {
    /// HTTP server for requests of callers and for outbound calls of the local upstream.
    pub requests: SocketAddr,
    /// HTTP server for the platform's readiness checks.
    pub ready: SocketAddr,
    /// HTTP server for heartbeats of the local upstream.
    pub control: SocketAddr,
    /// UDP socket for messages of other nodes.
    pub peers: SocketAddr,
    /// HTTP server for health, metrics, status and events.
    pub report: SocketAddr,
}

/// Settings of one hosted process: the platform that runs it also keeps its configuration.
///
/// Any other process has [`NodeSettings`](crate::node::NodeSettings) instead.
#[derive(Debug, Clone)]
pub struct HostedSettings {
    /// VM that the node runs on.
    pub vm: VmName,
    /// Service that the local upstream belongs to.
    pub service: ServiceName,
    /// Availability zone of the VM.
    pub zone: ZoneName,
    /// Region of the VM.
    pub region: RegionName,
    /// Addresses that the node binds.
    pub listen: HostedListenAddrs,
    /// Address of the local upstream.
    pub upstream_addr: SocketAddr,
    /// Address of the hosting platform's store.
    pub store_addr: SocketAddr,
    /// Policy bounds; the file sets those on retries, the others keep their defaults.
    pub bounds: Bounds,
    /// Time between the stop signal and the moment when the platform kills the process.
    pub grace_period: Duration,
    /// Bounds on sizes and counts.
    pub limits: Limits,
}

impl HostedSettings {
    /// Reads and checks the file at `path`.
    ///
    /// # Errors
    ///
    /// The file cannot be read, does not match the schema, or holds an invalid value.
    pub fn load(path: &Path) -> Result<Self, SettingsError> {
        let file_name = path.display().to_string();
        let text = fs::read_to_string(path)
            .map_err(|err| SettingsError::Unreadable(file_name.clone(), err.to_string()))?;
        Self::parse(&file_name, &text)
    }

    /// Parses and checks the text of a settings file; `file_name` names it in error messages.
    ///
    /// # Errors
    ///
    /// The text does not match the schema, or holds an invalid value.
    pub fn parse(file_name: &str, text: &str) -> Result<Self, SettingsError> {
        let file: HostedFile = toml::from_str(text)
            .map_err(|err| SettingsError::Syntax(file_name.to_owned(), err.to_string()))?;
        let policy = |err: PolicyError| SettingsError::InvalidPolicy(file_name.to_owned(), err);
        let bounds = Bounds::builder()
            .retry_ratio(file.retries.ratio)
            .retry_burst(file.retries.burst)
            .build()
            .map_err(policy)?;
        Ok(Self {
            vm: name_in_field("node.vm", VmName::new(&file.node.vm))?,
            service: name_in_field("node.service", ServiceName::new(&file.node.service))?,
            zone: name_in_field("node.zone", ZoneName::new(&file.node.zone))?,
            region: name_in_field("node.region", RegionName::new(&file.node.region))?,
            listen: listen_addrs(&file.listen)?,
            upstream_addr: parse_addr("upstream.addr", &file.upstream.addr)?,
            store_addr: parse_addr("store.addr", &file.store.addr)?,
            bounds,
            grace_period: grace_period(file.stop.grace_s)?,
            limits: limits(&file.limits)?,
        })
    }
}

fn listen_addrs(table: &ListenTable) -> Result<HostedListenAddrs, SettingsError> {
    Ok(HostedListenAddrs {
        requests: parse_addr("listen.requests", &table.requests)?,
        ready: parse_addr("listen.ready", &table.ready)?,
        control: parse_addr("listen.control", &table.control)?,
        peers: parse_addr("listen.peers", &table.peers)?,
        report: parse_addr("listen.report", &table.report)?,
    })
}

fn grace_period(seconds: f64) -> Result<Duration, SettingsError> {
    let whole_seconds = in_range("stop.grace_s", Some(seconds.max(0.0) as u64), 0, 1, 3600);
    whole_seconds.map(|_| Duration::from_secs_f64(seconds))
}

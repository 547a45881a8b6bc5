//! TOML schema of a node's settings file.

use serde::Deserialize;

/// The `[node]` table: identity and location of the node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeTable {
    pub(crate) vm: String,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) region: String,
    pub(crate) site: String,
}

/// The `[listen]` table: addresses that the node binds.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenTable {
    pub(crate) callers: String,
    pub(crate) upstream: String,
    pub(crate) peers: String,
    pub(crate) report: String,
}

/// The `[upstream]` table: the upstream on the VM of the node.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamTable {
    pub(crate) addr: String,
    pub(crate) load_path: Option<String>,
    pub(crate) load_poll_ms: Option<u64>,
    pub(crate) connections: Option<u64>,
}

/// The `[platform]` table: access to the platform log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformTable {
    pub(crate) addr: String,
    pub(crate) poll_ms: Option<u64>,
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) retention_s: Option<u64>,
}

/// The `[tls]` table: paths of PEM files.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TlsTable {
    pub(crate) ca: String,
    pub(crate) cert: String,
    pub(crate) key: String,
}

/// The `[limits]` table: bounds on sizes and counts.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LimitsTable {
    pub(crate) max_body_bytes: Option<u64>,
    pub(crate) max_header_bytes: Option<u64>,
    pub(crate) max_calls: Option<u64>,
    pub(crate) max_connections: Option<u64>,
    pub(crate) ring_len: Option<u64>,
    pub(crate) ledger_mb: Option<u64>,
    pub(crate) events: Option<u64>,
}

/// The `[stop]` table: time limits of a planned stop.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StopTable {
    pub(crate) drain_s: Option<u64>,
    pub(crate) linger_ms: Option<u64>,
}

/// One `[[seed]]` entry: another node that this node asks for the configuration and the members
/// while it starts.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SeedEntry {
    pub(crate) vm: String,
    pub(crate) addr: String,
}

/// The settings file as a whole.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeFile {
    pub(crate) node: NodeTable,
    pub(crate) listen: ListenTable,
    pub(crate) upstream: UpstreamTable,
    pub(crate) platform: PlatformTable,
    pub(crate) tls: TlsTable,
    #[serde(default)]
    pub(crate) limits: LimitsTable,
    #[serde(default)]
    pub(crate) stop: StopTable,
    #[serde(default)]
    pub(crate) seed: Vec<SeedEntry>,
}

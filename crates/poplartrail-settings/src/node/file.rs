//! The form of a settings file.

use serde::Deserialize;

/// Who the node is.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodePart {
    pub(crate) vm: String,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) region: String,
    pub(crate) site: String,
}

/// Addresses on which the node listens.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ListenPart {
    pub(crate) callers: String,
    pub(crate) upstream: String,
    pub(crate) peers: String,
    pub(crate) report: String,
}

/// The upstream on the VM.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct UpstreamPart {
    pub(crate) addr: String,
    pub(crate) load_path: Option<String>,
    pub(crate) load_poll_ms: Option<u64>,
    pub(crate) connections: Option<u64>,
}

/// The platform log.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PlatformPart {
    pub(crate) addr: String,
    pub(crate) poll_ms: Option<u64>,
    pub(crate) timeout_ms: Option<u64>,
    pub(crate) retention_s: Option<u64>,
}

/// Certificates, as paths of PEM files.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TlsPart {
    pub(crate) ca: String,
    pub(crate) cert: String,
    pub(crate) key: String,
}

/// Bounds on sizes and counts.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct LimitsPart {
    pub(crate) max_body_bytes: Option<u64>,
    pub(crate) max_header_bytes: Option<u64>,
    pub(crate) max_calls: Option<u64>,
    pub(crate) max_connections: Option<u64>,
    pub(crate) ring_len: Option<u64>,
    pub(crate) ledger_mb: Option<u64>,
    pub(crate) events: Option<u64>,
}

/// The planned stop.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct StopPart {
    pub(crate) drain_s: Option<u64>,
    pub(crate) linger_ms: Option<u64>,
}

/// A node to ask while the platform log is down.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SeedPart {
    pub(crate) vm: String,
    pub(crate) addr: String,
}

/// The whole file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct NodeFile {
    pub(crate) node: NodePart,
    pub(crate) listen: ListenPart,
    pub(crate) upstream: UpstreamPart,
    pub(crate) platform: PlatformPart,
    pub(crate) tls: TlsPart,
    #[serde(default)]
    pub(crate) limits: LimitsPart,
    #[serde(default)]
    pub(crate) stop: StopPart,
    #[serde(default)]
    pub(crate) seed: Vec<SeedPart>,
}

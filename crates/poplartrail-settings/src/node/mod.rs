//! Settings of one node process, in its two modes: hosted by a platform that keeps the
//! configuration, or not hosted, with the configuration in the platform log.

mod file;
mod hosted;
mod settings;

pub use hosted::{HostedListenAddrs, HostedSettings};
pub use settings::{
    Limits, ListenAddrs, NodeSettings, PlatformSettings, StopSettings, TlsSettings,
    UpstreamSettings,
};

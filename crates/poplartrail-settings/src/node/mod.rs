//! Settings of one node process, in its two modes: with the platform log, and hosted.

mod file;
mod hosted;
mod settings;

pub use hosted::{HostedListenAddrs, HostedSettings};
pub use settings::{
    Limits, ListenAddrs, NodeSettings, PlatformSettings, StopSettings, TlsSettings,
    UpstreamSettings,
};

//! The settings of one process.

mod file;
mod hosted;
mod settings;

pub use hosted::{HostedListen, HostedSettings};
pub use settings::{Limits, Listen, NodeSettings, Platform, Stop, Tls, Upstream};

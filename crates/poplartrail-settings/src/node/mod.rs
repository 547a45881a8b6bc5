//! The settings of one process.

mod file;
mod settings;

pub use settings::{Limits, Listen, NodeSettings, Platform, Stop, Tls, Upstream};

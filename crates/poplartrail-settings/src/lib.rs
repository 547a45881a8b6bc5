//! Settings files of nodes, and the configuration documents of all nodes: the base file and the
//! site overlays. All are TOML.
//!
//! Every field is checked when a file is loaded, and unknown fields are rejected. An error names
//! the field, the value and the remedy.

pub mod document;
mod error;
pub mod node;

pub use error::SettingsError;

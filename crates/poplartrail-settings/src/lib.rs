//! TOML documents: the settings of one process, the base file and the site overlays.
//!
//! Every field is checked at load. An error names the field, the value and the remedy,
//! and a field that is not known is refused.

pub mod document;
mod error;
pub mod node;

pub use error::SettingsError;

//! Messages that nodes exchange with each other and with the platform log, and their conversions
//! from and to the types of the core.
//!
//! The types in [`generated`] are generated from `proto/poplartrail.proto` and committed, so the
//! build needs no generator. `cargo run -p poplartrail-gen` regenerates them.

mod convert;
mod error;
pub mod generated;

pub use convert::{MAX_START_BYTES, PeerMessage, call, config, log, member, reply, stated_len};
pub use error::WireError;

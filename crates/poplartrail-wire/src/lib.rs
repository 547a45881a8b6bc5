//! Message types at the border, and their conversions from and to the core's types.
//!
//! The types in [`generated`] come from `proto/poplartrail.proto` and are committed,
//! so the build needs no generator. `cargo run -p poplartrail-gen` makes them anew.

mod convert;
mod error;
pub mod generated;

pub use convert::{call, config, log, member, reply};
pub use error::WireError;

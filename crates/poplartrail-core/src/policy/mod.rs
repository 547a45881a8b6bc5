//! Policy that operators set: ranks, services and bounds.

mod bounds;
mod document;
mod error;
mod rank;

pub use bounds::{Bounds, BoundsBuilder};
pub use document::{Policy, ServiceRule};
pub use error::PolicyError;
pub use rank::{Rank, RankIndex, Ranks};

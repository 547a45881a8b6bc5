//! The base file and the site overlays, and their merge into a policy.

mod base;
mod check;
mod merge;
mod overlay;

pub use base::{BaseDocument, BoundsTable, RankEntry, ServiceEntry};
pub use check::{SitePolicySource, Warning};
pub use merge::{merge, redundant_fields};
pub use overlay::OverlayDocument;

//! The base file and the site overlays, and how they become a policy.

mod base;
mod check;
mod merge;
mod overlay;

pub use base::{BaseDocument, BoundsPart, RankPart, ServicePart};
pub use check::{SitePolicySource, Warning};
pub use merge::{merge, repeats};
pub use overlay::OverlayDocument;

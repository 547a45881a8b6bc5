//! The upstream beside the node: which incarnation it is, and whether it takes work.

mod check_in;
mod error;
mod life;

pub use check_in::{CheckIn, ClaimedState, Departure};
pub use error::CheckInError;
pub use life::{Attached, Leaving, Ready, UpstreamChange, UpstreamLife};

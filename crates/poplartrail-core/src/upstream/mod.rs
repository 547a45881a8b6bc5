//! The upstream beside the node: which incarnation it is, and whether it takes work.

mod error;
mod heartbeat;
mod state;

pub use error::HeartbeatError;
pub use heartbeat::{Deregistration, Heartbeat, ReportedState};
pub use state::{Attached, Leaving, Ready, UpstreamChange, UpstreamState};

//! State of the local upstream: which incarnation is registered, and whether it accepts work.

mod error;
mod heartbeat;
mod incarnation;
mod state;

pub use error::HeartbeatError;
pub use heartbeat::{Deregistration, Heartbeat, ReportedState};
pub use incarnation::UpstreamIncarnation;
pub use state::{Draining, Ready, Registration, UpstreamChange, UpstreamState};

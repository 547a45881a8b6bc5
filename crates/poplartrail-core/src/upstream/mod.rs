//! State of the local upstream: which incarnation is registered, and whether it accepts work.

mod call_limit;
mod call_rate;
mod error;
mod heartbeat;
mod incarnation;
mod notice;
mod state;
mod terms;

pub use call_limit::CallLimit;
pub use call_rate::CallRate;
pub use error::HeartbeatError;
pub use heartbeat::{Deregistration, Heartbeat, ReportedState};
pub use incarnation::UpstreamIncarnation;
pub use notice::{NamedLimit, UpstreamNotice};
pub use state::{Draining, Ready, Registration, UpstreamChange, UpstreamState};
pub use terms::UpstreamTerms;

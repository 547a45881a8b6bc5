//! Choice of an instance for a call, and what answers tell about the instances.

mod ack_watchdog;
mod instance;
mod report;
mod router;
mod silence;

pub use ack_watchdog::{AckWatchdog, ConnectionCounters};
pub use instance::{Instance, InstanceKey, InstanceState};
pub use report::GateReport;
pub use router::{InstanceChoice, Router};
pub use silence::Silence;

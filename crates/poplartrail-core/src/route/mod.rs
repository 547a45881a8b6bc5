//! Choice of an instance for each call, and the state of the instances as seen from this node.

mod ack_watchdog;
mod answer_watchdog;
mod instance;
mod report;
mod router;

pub use ack_watchdog::{AckWatchdog, ConnectionCounters};
pub use answer_watchdog::AnswerWatchdog;
pub use instance::{Instance, InstanceKey, InstanceState};
pub use report::GateReport;
pub use router::{InstanceChoice, Router};

//! Runs the daemon and its stand-ins as separate processes on loopback.

mod plan;
mod ports;
mod process;
mod running;

pub use plan::{FleetPlan, NodePlan};
pub use ports::free_addr;
pub use process::Process;
pub use running::{Fleet, NodeHandle};

//! Test scaffolding: stand-ins for what the product meets, and a fleet of real processes.
//!
//! [`log`] stands in for the platform's append-only log, [`upstream`] for an upstream,
//! [`certificates`] for the operators' certificate authority. [`fleet`] starts the daemon and the
//! stand-ins as separate processes on loopback and speaks to them as callers do. [`hosted`] does the
//! same for a platform that runs the node: its store, an instance and a caller.

pub mod caller;
pub mod certificates;
pub mod fleet;
pub mod hosted;
pub mod log;
mod serve;
pub mod upstream;

//! Test scaffolding: stand-ins for the systems around a node, and fleets of real processes.
//!
//! [`log`] stands in for the platform log, [`upstream`] for an upstream, and [`certificates`] for
//! the certificate authority of the operators. [`fleet`] starts the daemon and the stand-ins as
//! separate processes on loopback, and [`caller`] sends requests to them. [`hosted`] does the same
//! for the hosted mode: it stands in for the store, an instance and a caller.

pub mod caller;
pub mod certificates;
pub mod fleet;
pub mod hosted;
pub mod log;
mod serve;
pub mod upstream;

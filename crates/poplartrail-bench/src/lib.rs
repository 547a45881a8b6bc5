//! Simulations of the decisions in virtual time, and benchmarks of real processes.
//!
//! [`simulation`] runs the decisions of whole nodes against simulated upstreams, with seeded random
//! numbers and no clock, so that all runs with the same seed give the same results.
//! [`scenarios`] holds the call graphs, loads and faults for which the performance targets are
//! stated.

pub mod scenarios;
pub mod simulation;

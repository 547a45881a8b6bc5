//! Virtual-time measurements of the decisions, and benchmarks of real processes.
//!
//! [`simulation`] drives the decisions of whole nodes against a small fake upstream, with seeded random
//! numbers and no clock, so that every count is the same on every run.
//! [`scenarios`] holds the call graphs and loads that the targets speak of.

pub mod scenarios;
pub mod simulation;

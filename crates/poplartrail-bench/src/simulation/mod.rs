//! Discrete-event simulation of nodes, upstreams and callers in virtual time.

mod builder;
mod callers;
mod event_queue;
mod fake_upstream;
mod fault;
mod graph;
mod run_stats;
mod world;

pub use builder::SimulationBuilder;
pub use callers::{Load, RepeatPolicy, RequestKind};
pub use fault::{Fault, FaultKind};
pub use graph::{Graph, Service};
pub use run_stats::{RankStats, RunStats};
pub use world::Simulation;

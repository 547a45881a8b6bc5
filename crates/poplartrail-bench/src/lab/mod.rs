//! Nodes, fake upstreams and callers in virtual time.

mod builder;
mod callers;
mod fake_upstream;
mod fault;
mod graph;
mod schedule;
mod tally;
mod world;

pub use builder::LabBuilder;
pub use callers::{Kind, Load, Repeats};
pub use fault::{Fault, FaultKind};
pub use graph::{Graph, Service};
pub use tally::{RankTally, Tally};
pub use world::Lab;

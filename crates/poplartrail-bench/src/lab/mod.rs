//! Nodes, fake upstreams and callers in virtual time.

mod callers;
mod fake_upstream;
mod graph;
mod schedule;
mod tally;
mod world;

pub use callers::{Kind, Load, Repeats};
pub use graph::{Graph, Service};
pub use tally::{RankTally, Tally};
pub use world::{Fault, FaultKind, Lab, LabBuilder};

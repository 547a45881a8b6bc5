//! One kind of work floods in.

use std::time::Duration;

use crate::{
    scenarios::{SETTLE, mixed, ranks},
    simulation::{Graph, Load, RunStats, Simulation, SimulationBuilder},
};

/// Ordinary load, as a multiple of capacity.
const ORDINARY: f64 = 0.6;
/// Seconds that a run counts.
const SECONDS: u64 = 12;

/// An ordinary mix at six tenths of capacity, and `times` the capacity of one rank on top.
pub fn flood(graph: &Graph, rank: usize, times: f64) -> SimulationBuilder {
    let until = SETTLE + Duration::from_secs(SECONDS);
    let last = until + Duration::from_secs(4);
    let builder = Simulation::builder(graph.clone(), ranks()).measure_between(SETTLE, until);
    let ordinary = mixed(graph, ORDINARY, poplartrail_core::time::Time::ZERO, last);
    let builder = ordinary.into_iter().fold(builder, SimulationBuilder::load);
    let rate = graph.capacity() * times;
    let begin = SETTLE + Duration::from_secs(1);
    builder.load(Load::new(rank, graph.services.len(), rate, begin, last))
}

/// The same mix without a flood.
pub fn kept_before(graph: &Graph) -> RunStats {
    flood(graph, 0, 0.0).run()
}

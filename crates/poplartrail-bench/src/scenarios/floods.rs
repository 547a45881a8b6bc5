//! Floods of requests of one rank.

use std::time::Duration;

use crate::{
    scenarios::{WARM_UP_END, mixed_load, ranks},
    simulation::{Graph, Load, RunStats, Simulation, SimulationBuilder},
};

/// Offered load of the ordinary mix, as a multiple of capacity.
const ORDINARY_LOAD: f64 = 0.6;
/// Length of the measurement window, in seconds.
const MEASURED_SECONDS: u64 = 12;

/// Returns a run of the ordinary mix at 0.6 times the capacity, with a flood of requests of `rank`
/// on top: `load_factor` times the capacity, from 1 s after the warm-up.
pub fn flood(graph: &Graph, rank: usize, load_factor: f64) -> SimulationBuilder {
    let until = WARM_UP_END + Duration::from_secs(MEASURED_SECONDS);
    let load_end = until + Duration::from_secs(4);
    let builder = Simulation::builder(graph.clone(), ranks()).measure_between(WARM_UP_END, until);
    let ordinary = mixed_load(graph, ORDINARY_LOAD, poplartrail_core::time::Time::ZERO, load_end);
    let builder = ordinary.into_iter().fold(builder, SimulationBuilder::load);
    let rate = graph.capacity() * load_factor;
    let flood_start = WARM_UP_END + Duration::from_secs(1);
    builder.load(Load::new(rank, graph.services.len(), rate, flood_start, load_end))
}

/// Runs the same mix without a flood.
pub fn without_flood(graph: &Graph) -> RunStats {
    flood(graph, 0, 0.0).run()
}

//! Retries under lost answers, kills and callers that repeat.

use std::time::Duration;

use poplartrail_core::{policy::Bounds, time::Time};

use crate::{
    scenarios::{Baseline, SETTLE, mixed, ranks},
    simulation::{FaultKind, Graph, RepeatPolicy, RunStats, Simulation, SimulationBuilder},
};

/// Load, as a multiple of capacity.
const LOAD: f64 = 0.7;
/// Probability that an answer is lost.
const LOSS: f64 = 0.05;
/// Time between two kills.
const KILL_EVERY: Duration = Duration::from_secs(2);
/// Time for which a killed upstream stays away.
const AWAY: Duration = Duration::from_millis(700);

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct RetryRun {
    /// Retries that one request may cause.
    pub bound: u8,
    /// Seconds that are counted.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Loses answers everywhere, kills an upstream every two seconds and lets callers repeat.
pub fn retry_run(graph: &Graph, run: RetryRun, baseline: Baseline) -> RunStats {
    let until = SETTLE + Duration::from_secs(run.seconds);
    let bounds = Bounds::builder().retries_per_request(run.bound).build();
    let bounds = bounds.expect("the bound lies in its range");
    let mut builder = Simulation::builder(graph.clone(), ranks())
        .measure_between(SETTLE, until)
        .bounds(bounds)
        .seed(run.seed);
    for load in mixed(graph, LOAD, Time::ZERO, until + Duration::from_secs(4)) {
        builder = builder.load(load.repeat_policy(RepeatPolicy::SameRequestId(3)));
    }
    for service in 0..graph.services.len() {
        builder = builder.fault(SETTLE, FaultKind::LoseAnswers { service, probability: LOSS });
    }
    baseline.apply(kills(builder, graph, run.seconds)).run()
}

fn kills(mut builder: SimulationBuilder, graph: &Graph, seconds: u64) -> SimulationBuilder {
    let mut at = SETTLE + KILL_EVERY;
    for turn in 0..(seconds / KILL_EVERY.as_secs()) as usize {
        let service = turn % graph.services.len();
        let instance = turn % graph.services[service].instances;
        builder = builder
            .fault(at, FaultKind::Kill { service, instance })
            .fault(at + AWAY, FaultKind::Restart { service, instance });
        at = at + KILL_EVERY;
    }
    builder
}

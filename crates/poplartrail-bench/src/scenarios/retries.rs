//! Retries under lost answers, killed upstreams and callers that repeat requests.

use std::time::Duration;

use poplartrail_core::{policy::Bounds, time::Time};

use crate::{
    scenarios::{Baseline, WARM_UP_END, mixed_load, ranks},
    simulation::{FaultKind, Graph, RepeatPolicy, RunStats, Simulation, SimulationBuilder},
};

/// Offered load, as a multiple of capacity.
const LOAD_FACTOR: f64 = 0.7;
/// Probability that an answer is lost.
const ANSWER_LOSS: f64 = 0.05;
/// Time between two kills.
const KILL_INTERVAL: Duration = Duration::from_secs(2);
/// Time between the kill of an upstream and its restart.
const DOWNTIME: Duration = Duration::from_millis(700);

/// Parameters of a run under lost answers and kills.
#[derive(Debug, Clone, Copy)]
pub struct RetryRun {
    /// Retries that one request may cause over its whole chain.
    pub max_retries: u8,
    /// Length of the measurement window, in seconds.
    pub seconds: u64,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// Runs `graph` at 0.7 times its capacity while 5% of all answers are lost, an upstream is killed
/// every two seconds and callers repeat a request up to three times under the same request id.
pub fn retry_run(graph: &Graph, run: RetryRun, baseline: Baseline) -> RunStats {
    let until = WARM_UP_END + Duration::from_secs(run.seconds);
    let bounds = Bounds::builder().retries_per_request(run.max_retries).build();
    let bounds = bounds.expect("max_retries is in range");
    let mut builder = Simulation::builder(graph.clone(), ranks())
        .measure_between(WARM_UP_END, until)
        .bounds(bounds)
        .seed(run.seed);
    for load in mixed_load(graph, LOAD_FACTOR, Time::ZERO, until + Duration::from_secs(4)) {
        builder = builder.load(load.repeat_policy(RepeatPolicy::SameRequestId(3)));
    }
    for service in 0..graph.services.len() {
        builder = builder
            .fault(WARM_UP_END, FaultKind::LoseAnswers { service, probability: ANSWER_LOSS });
    }
    baseline.apply(add_kills(builder, graph, run.seconds)).run()
}

fn add_kills(mut builder: SimulationBuilder, graph: &Graph, seconds: u64) -> SimulationBuilder {
    let mut at = WARM_UP_END + KILL_INTERVAL;
    for round in 0..(seconds / KILL_INTERVAL.as_secs()) as usize {
        let service = round % graph.services.len();
        let instance = round % graph.services[service].instances;
        builder = builder
            .fault(at, FaultKind::Kill { service, instance })
            .fault(at + DOWNTIME, FaultKind::Restart { service, instance });
        at = at + KILL_INTERVAL;
    }
    builder
}

//! Disturbance that ends, and the time until everything is as goodput_before.

use std::time::Duration;

use poplartrail_core::time::Time;

use crate::{
    scenarios::{Baseline, WARM_UP_END, mixed_load, ranks},
    simulation::{FaultKind, Graph, Load, RepeatPolicy, Simulation, SimulationBuilder},
};

/// Ordinary load, as a multiple of capacity.
const ORDINARY_LOAD: f64 = 0.8;
/// Length of a slow phase.
const SLOW_PHASE: Duration = Duration::from_secs(30);
/// Length of a surge.
const SURGE_DURATION: Duration = Duration::from_secs(10);
/// Factor on the service time in a slow phase.
const SLOW_FACTOR: f64 = 10.0;
/// Load of a surge, as a multiple of the ordinary one, that comes on top.
const SURGE_EXTRA_FACTOR: f64 = 4.0;
/// Times that callers who retry hard send a request again.
const MAX_REPEATS: u32 = 5;
/// Time that is watched after the trouble.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);
/// Part of the goodput before that counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// The deepest service works at ten times its time for 30 s.
    Slow,
    /// Five times the ordinary load for 10 s.
    Surge,
    /// A surge while callers send each failed request again up to five times.
    HardRetries,
    /// The slow phase and the surge together, with such callers.
    Together,
    /// The same twice, 15 s apart.
    Twice,
}

impl Disturbance {
    /// All of them.
    pub const ALL: [Disturbance; 5] = [
        Disturbance::Slow,
        Disturbance::Surge,
        Disturbance::HardRetries,
        Disturbance::Together,
        Disturbance::Twice,
    ];
}

/// How a run recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recovery {
    /// Whole requests a second before the trouble.
    pub goodput_before: f64,
    /// Whole requests a second in its last five seconds.
    pub goodput_during: f64,
    /// Seconds from its end until 95% of before is reached, if that happened.
    pub recovery_s: Option<usize>,
}

/// Lets `disturbance` come and go, and measures the recovery.
pub fn measure_recovery(
    graph: &Graph,
    disturbance: Disturbance,
    baseline: Baseline,
    seed: u64,
) -> Recovery {
    let start = WARM_UP_END + Duration::from_secs(6);
    let (builder, end) = build_run(graph, disturbance, start);
    let stats = baseline.apply(builder).seed(seed).run();
    let second = |time: Time| time.as_secs_f64() as usize;
    let mean = |from: usize, until: usize| {
        let counts = stats.succeeded_by_second.get(from..until).unwrap_or(&[]);
        counts.iter().sum::<u64>() as f64 / (until - from) as f64
    };
    let goodput_before = mean(second(start) - 5, second(start));
    let goodput_during = mean(second(end) - 5, second(end));
    let recovery_s = stats.recovery_s(second(end), goodput_before * RECOVERED_SHARE);
    Recovery { goodput_before, goodput_during, recovery_s }
}

fn build_run(graph: &Graph, disturbance: Disturbance, start: Time) -> (SimulationBuilder, Time) {
    let repeat_policy = match disturbance {
        Disturbance::Slow | Disturbance::Surge => RepeatPolicy::None,
        _ => RepeatPolicy::NewRequestId(MAX_REPEATS),
    };
    let duration = match disturbance {
        Disturbance::Surge | Disturbance::HardRetries => SURGE_DURATION,
        _ => SLOW_PHASE,
    };
    let mut starts = vec![start];
    if disturbance == Disturbance::Twice {
        starts.push(start + duration + Duration::from_secs(15));
    }
    let end = *starts.last().expect("there is a first time") + duration;
    let until = end + OBSERVATION_TIME;
    let mut builder =
        Simulation::builder(graph.clone(), ranks()).measure_between(WARM_UP_END, until);
    for load in mixed_load(graph, ORDINARY_LOAD, Time::ZERO, until) {
        builder = builder.load(load.repeat_policy(repeat_policy));
    }
    for at in starts {
        builder = inject(builder, graph, disturbance, at, at + duration, repeat_policy);
    }
    (builder, end)
}

fn inject(
    mut builder: SimulationBuilder,
    graph: &Graph,
    disturbance: Disturbance,
    start: Time,
    end: Time,
    repeat_policy: RepeatPolicy,
) -> SimulationBuilder {
    let service = graph.services.len() - 1;
    if !matches!(disturbance, Disturbance::Surge | Disturbance::HardRetries) {
        builder = builder
            .fault(start, FaultKind::Slow { service, factor: SLOW_FACTOR })
            .fault(end, FaultKind::Slow { service, factor: 1.0 });
    }
    if disturbance != Disturbance::Slow {
        let surge: Vec<Load> = mixed_load(graph, ORDINARY_LOAD * SURGE_EXTRA_FACTOR, start, end);
        for load in surge {
            builder = builder.load(load.repeat_policy(repeat_policy));
        }
    }
    builder
}

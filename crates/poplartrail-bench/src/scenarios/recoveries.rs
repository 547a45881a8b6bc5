//! Temporary disturbances and the time until goodput has recovered from them.

use std::time::Duration;

use poplartrail_core::time::Time;

use crate::{
    scenarios::{Baseline, WARM_UP_END, mixed_load, ranks},
    simulation::{FaultKind, Graph, Load, RepeatPolicy, Simulation, SimulationBuilder},
};

/// Offered load of the ordinary mix, as a multiple of capacity.
const ORDINARY_LOAD: f64 = 0.8;
/// Duration of a slow phase.
const SLOW_PHASE: Duration = Duration::from_secs(30);
/// Duration of a surge.
const SURGE_DURATION: Duration = Duration::from_secs(10);
/// Factor on the self time of the last service's calls in a slow phase.
const SLOW_FACTOR: f64 = 10.0;
/// Load that a surge adds, as a multiple of the ordinary load.
const SURGE_EXTRA_FACTOR: f64 = 4.0;
/// Number of times that callers with aggressive repeats send a request again.
const MAX_REPEATS: u32 = 5;
/// Time after the disturbance in which recovery is measured.
const OBSERVATION_TIME: Duration = Duration::from_secs(30);
/// Share of the goodput before the disturbance from which a run counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Kind of disturbance; the variant's name labels the rows of the printed tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disturbance {
    /// The last service of the chain takes ten times its self time for 30 s.
    Slow,
    /// Offered load rises to five times the ordinary load for 10 s.
    Surge,
    /// A surge while callers repeat each unsuccessful request up to five times.
    HardRetries,
    /// A slow phase and a surge together, both for 30 s, while callers repeat requests as in
    /// `HardRetries`.
    Together,
    /// The disturbance of `Together` twice, 15 s apart.
    Twice,
}

impl Disturbance {
    /// All kinds, in the order of the printed tables.
    pub const ALL: [Disturbance; 5] = [
        Disturbance::Slow,
        Disturbance::Surge,
        Disturbance::HardRetries,
        Disturbance::Together,
        Disturbance::Twice,
    ];
}

/// Goodput around a disturbance and the time to recover from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recovery {
    /// Successful requests per second in the last five seconds before the disturbance.
    pub goodput_before: f64,
    /// Successful requests per second in the last five seconds of the disturbance.
    pub goodput_during: f64,
    /// Seconds from the end of the disturbance until goodput is back at 95% of the goodput before
    /// it; `None` if it stays below until the end of the run.
    pub recovery_s: Option<usize>,
}

/// Runs `graph` through a temporary disturbance and measures its recovery.
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
    let end = *starts.last().expect("the disturbance starts at least once") + duration;
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

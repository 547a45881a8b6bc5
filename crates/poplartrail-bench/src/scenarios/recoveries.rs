//! Trouble that ends, and the time until everything is as before.

use std::time::Duration;

use poplartrail_core::time::Time;

use crate::{
    scenarios::{Baseline, SETTLE, mixed, ranks},
    simulation::{FaultKind, Graph, Load, RepeatPolicy, Simulation, SimulationBuilder},
};

/// Ordinary load, as a multiple of capacity.
const ORDINARY: f64 = 0.8;
/// Length of a slow phase.
const SLOW: Duration = Duration::from_secs(30);
/// Length of a surge.
const SURGE: Duration = Duration::from_secs(10);
/// Factor on the service time in a slow phase.
const SLOWNESS: f64 = 10.0;
/// Load of a surge, as a multiple of the ordinary one, that comes on top.
const SURGE_TIMES: f64 = 4.0;
/// Times that callers who retry hard send a request again.
const HARD_RETRIES: u32 = 5;
/// Time that is watched after the trouble.
const WATCH: Duration = Duration::from_secs(30);
/// Part of the goodput before that counts as recovered.
const RECOVERED: f64 = 0.95;

/// Kinds of trouble.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
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

impl Trouble {
    /// All of them.
    pub const ALL: [Trouble; 5] =
        [Trouble::Slow, Trouble::Surge, Trouble::HardRetries, Trouble::Together, Trouble::Twice];
}

/// How a run recovered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recovered {
    /// Whole requests a second before the trouble.
    pub before: f64,
    /// Whole requests a second in its last five seconds.
    pub during: f64,
    /// Seconds from its end until 95% of before is reached, if that happened.
    pub seconds: Option<usize>,
}

/// Lets `trouble` come and go, and measures the recovery.
pub fn recover(graph: &Graph, trouble: Trouble, baseline: Baseline, seed: u64) -> Recovered {
    let begin = SETTLE + Duration::from_secs(6);
    let (builder, end) = troubled(graph, trouble, begin);
    let stats = baseline.apply(builder).seed(seed).run();
    let second = |time: Time| time.as_secs_f64() as usize;
    let mean = |from: usize, until: usize| {
        let counts = stats.succeeded_by_second.get(from..until).unwrap_or(&[]);
        counts.iter().sum::<u64>() as f64 / (until - from) as f64
    };
    let before = mean(second(begin) - 5, second(begin));
    let during = mean(second(end) - 5, second(end));
    let seconds = stats.recovery_s(second(end), before * RECOVERED);
    Recovered { before, during, seconds }
}

fn troubled(graph: &Graph, trouble: Trouble, begin: Time) -> (SimulationBuilder, Time) {
    let repeat_policy = match trouble {
        Trouble::Slow | Trouble::Surge => RepeatPolicy::None,
        _ => RepeatPolicy::NewRequestId(HARD_RETRIES),
    };
    let length = match trouble {
        Trouble::Surge | Trouble::HardRetries => SURGE,
        _ => SLOW,
    };
    let mut begins = vec![begin];
    if trouble == Trouble::Twice {
        begins.push(begin + length + Duration::from_secs(15));
    }
    let end = *begins.last().expect("there is a first time") + length;
    let until = end + WATCH;
    let mut builder = Simulation::builder(graph.clone(), ranks()).measure_between(SETTLE, until);
    for load in mixed(graph, ORDINARY, Time::ZERO, until) {
        builder = builder.load(load.repeat_policy(repeat_policy));
    }
    for at in begins {
        builder = strike(builder, graph, trouble, at, at + length, repeat_policy);
    }
    (builder, end)
}

fn strike(
    mut builder: SimulationBuilder,
    graph: &Graph,
    trouble: Trouble,
    begin: Time,
    end: Time,
    repeat_policy: RepeatPolicy,
) -> SimulationBuilder {
    let service = graph.services.len() - 1;
    if !matches!(trouble, Trouble::Surge | Trouble::HardRetries) {
        builder = builder
            .fault(begin, FaultKind::Slow { service, factor: SLOWNESS })
            .fault(end, FaultKind::Slow { service, factor: 1.0 });
    }
    if trouble != Trouble::Slow {
        let surge: Vec<Load> = mixed(graph, ORDINARY * SURGE_TIMES, begin, end);
        for load in surge {
            builder = builder.load(load.repeat_policy(repeat_policy));
        }
    }
    builder
}

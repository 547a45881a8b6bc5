//! Load endpoints that do not tell the truth, and instances that vanish.

use std::time::Duration;

use poplartrail_core::time::Time;

use crate::{
    scenarios::{SETTLE, mixed, overload, ranks},
    simulation::{FaultKind, Graph, Simulation, SimulationBuilder},
};

/// Overload under which hints are compared, as a multiple of capacity.
const HINT_LOAD: f64 = 2.0;
/// Time between two statements of a load endpoint.
const STATE_EVERY: Duration = Duration::from_secs(1);

/// What the load endpoints state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hint {
    /// The true number of slots.
    True,
    /// The true number of 10 s ago, when there were twice as many slots.
    Lagging,
    /// One slot, for ever.
    Stuck,
    /// Ten times the slots.
    TenTimes,
    /// A tenth of the slots.
    Tenth,
}

impl Hint {
    /// All of them.
    pub const ALL: [Hint; 5] =
        [Hint::True, Hint::Lagging, Hint::Stuck, Hint::TenTimes, Hint::Tenth];

    fn slots(self, truth: usize, at: Time) -> u32 {
        let slots = match self {
            Hint::True => truth,
            Hint::Lagging if at < Time::from_millis(10_000) => truth * 2,
            Hint::Lagging => truth,
            Hint::Stuck => 1,
            Hint::TenTimes => truth * 10,
            Hint::Tenth => (truth / 10).max(1),
        };
        slots as u32
    }
}

/// Twice the capacity, while all load endpoints state `hint` each second.
pub fn with_hint(graph: &Graph, hint: Hint, seconds: u64) -> SimulationBuilder {
    let mut builder = overload(graph, HINT_LOAD, seconds);
    let end = SETTLE + Duration::from_secs(seconds);
    for (service, stated) in graph.services.iter().enumerate() {
        let mut at = Time::ZERO;
        while at < end {
            let slots = hint.slots(stated.slots, at);
            builder = builder.fault(at, FaultKind::ReportSlots { service, slots });
            at = at + STATE_EVERY;
        }
    }
    builder
}

/// Six tenths of capacity, while the upstream of one instance of the second service is killed
/// and comes back (`is_silence` false), or its connections fall silent (`is_silence` true).
pub fn instance_trouble(graph: &Graph, is_silence: bool, seconds: u64) -> SimulationBuilder {
    let until = SETTLE + Duration::from_secs(seconds);
    let mut builder = Simulation::builder(graph.clone(), ranks()).measure_between(SETTLE, until);
    for load in mixed(graph, 0.6, Time::ZERO, until + Duration::from_secs(4)) {
        builder = builder.load(load);
    }
    let (service, instance) = (1, 0);
    let at = SETTLE + Duration::from_secs(2);
    if is_silence {
        return builder.fault(at, FaultKind::Silence { service, instance });
    }
    builder
        .fault(at, FaultKind::Kill { service, instance })
        .fault(at + Duration::from_secs(2), FaultKind::Restart { service, instance })
}

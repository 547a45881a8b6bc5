//! Parameters of a run.

use poplartrail_core::{
    engine::CallOptions,
    policy::{Bounds, Ranks},
    time::Time,
};

use crate::simulation::{Fault, FaultKind, Graph, Load, RunStats, Simulation};

/// Parameters of a run.
pub struct SimulationBuilder {
    pub(crate) graph: Graph,
    pub(crate) ranks: Ranks,
    pub(crate) loads: Vec<Load>,
    pub(crate) faults: Vec<Fault>,
    pub(crate) call_options: CallOptions,
    pub(crate) measured_from: Time,
    pub(crate) measured_until: Time,
    pub(crate) seed: u64,
    pub(crate) bounds: Bounds,
}

impl SimulationBuilder {
    pub(crate) fn new(graph: Graph, ranks: Ranks) -> Self {
        Self {
            graph,
            ranks,
            loads: Vec::new(),
            faults: Vec::new(),
            call_options: CallOptions::new(),
            measured_from: Time::ZERO,
            measured_until: Time::from_millis(10_000),
            seed: 1,
            bounds: Bounds::default(),
        }
    }

    /// Changes what each node decides by.
    #[must_use]
    pub fn call_options(mut self, change: impl FnOnce(CallOptions) -> CallOptions) -> Self {
        self.call_options = change(self.call_options);
        self
    }

    /// Adds a stream of requests.
    #[must_use]
    pub fn load(mut self, load: Load) -> Self {
        self.loads.push(load);
        self
    }

    /// Adds a fault.
    #[must_use]
    pub fn fault(mut self, at: Time, kind: FaultKind) -> Self {
        self.faults.push(Fault { at, kind });
        self
    }

    /// Sets the time from which requests are counted, and the end.
    #[must_use]
    pub fn measure_between(mut self, from: Time, until: Time) -> Self {
        self.measured_from = from;
        self.measured_until = until;
        self
    }

    /// Sets the seed of all random numbers.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the bounds of the policy.
    #[must_use]
    pub fn bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Runs to the end and returns the counts.
    pub fn run(self) -> RunStats {
        Simulation::new(&self).run()
    }
}

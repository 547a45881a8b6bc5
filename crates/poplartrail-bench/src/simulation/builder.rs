//! Configuration of a simulation.

use poplartrail_core::{
    engine::CallOptions,
    policy::{Bounds, Ranks},
    time::Time,
};

use crate::simulation::{Fault, FaultKind, Graph, Load, RunStats, Simulation};

/// Configures a [`Simulation`].
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

    /// Changes the call options of every node.
    #[must_use]
    pub fn call_options(mut self, change: impl FnOnce(CallOptions) -> CallOptions) -> Self {
        self.call_options = change(self.call_options);
        self
    }

    /// Adds an offered load.
    #[must_use]
    pub fn load(mut self, load: Load) -> Self {
        self.loads.push(load);
        self
    }

    /// Injects a fault at virtual time `at`.
    #[must_use]
    pub fn fault(mut self, at: Time, kind: FaultKind) -> Self {
        self.faults.push(Fault { at, kind });
        self
    }

    /// Sets the measurement window: only requests sent between `from` and `until` are counted.
    #[must_use]
    pub fn measure_between(mut self, from: Time, until: Time) -> Self {
        self.measured_from = from;
        self.measured_until = until;
        self
    }

    /// Sets the seed of all random numbers; 1 by default.
    #[must_use]
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the bounds of the policy that all nodes use.
    #[must_use]
    pub fn bounds(mut self, bounds: Bounds) -> Self {
        self.bounds = bounds;
        self
    }

    /// Runs the simulation to its end and returns what it measured.
    pub fn run(self) -> RunStats {
        Simulation::new(&self).run()
    }
}

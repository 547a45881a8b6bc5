//! Faults that a simulation injects.

use poplartrail_core::time::Time;

/// A fault and the time of its injection.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Virtual time at which the fault is injected.
    pub at: Time,
    /// Kind of the fault, with the service or instance that it affects.
    pub kind: FaultKind,
}

/// Kind of an injected fault; services and instances are given by index, from 0.
#[derive(Debug, Clone)]
pub enum FaultKind {
    /// Multiplies the self time of the calls in all upstreams of a service.
    Slow {
        /// Index of the service in the chain.
        service: usize,
        /// Factor on the mean self time; 1.0 ends the fault.
        factor: f64,
    },
    /// Loses answers of all upstreams of a service after the work was done.
    LoseAnswers {
        /// Index of the service in the chain.
        service: usize,
        /// Probability that an answer is lost; 0.0 ends the fault.
        probability: f64,
    },
    /// Kills an upstream with all its calls; it refuses connections until it is restarted.
    Kill {
        /// Index of the service in the chain.
        service: usize,
        /// Index of the instance within the service.
        instance: usize,
    },
    /// Restarts a killed upstream, with no calls in progress.
    Restart {
        /// Index of the service in the chain.
        service: usize,
        /// Index of the instance within the service.
        instance: usize,
    },
    /// Drops all traffic on the connections that are open to one instance, in both directions,
    /// until the sending node replaces its connection.
    Silence {
        /// Index of the service in the chain.
        service: usize,
        /// Index of the instance within the service.
        instance: usize,
    },
    /// Changes the number of slots that the load endpoints of a service report; the true number
    /// stays as it is.
    ReportSlots {
        /// Index of the service in the chain.
        service: usize,
        /// Number of slots that each instance reports.
        slots: u32,
    },
}

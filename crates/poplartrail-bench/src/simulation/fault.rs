//! What goes wrong in a run.

use poplartrail_core::time::Time;

/// Something that goes wrong.
#[derive(Debug, Clone)]
pub struct Fault {
    /// When.
    pub at: Time,
    /// What.
    pub kind: FaultKind,
}

/// Kinds of faults.
#[derive(Debug, Clone)]
pub enum FaultKind {
    /// The upstreams of a service work at this multiple of their time.
    Slow {
        /// Position of the service.
        service: usize,
        /// Factor on the service time.
        factor: f64,
    },
    /// Answers of a service's upstreams are lost with this probability.
    LoseAnswers {
        /// Position of the service.
        service: usize,
        /// Probability.
        probability: f64,
    },
    /// An upstream is killed with everything in it, and refuses connections.
    Kill {
        /// Position of the service.
        service: usize,
        /// Which of its instances.
        instance: usize,
    },
    /// A killed upstream is back, empty.
    Restart {
        /// Position of the service.
        service: usize,
        /// Which of its instances.
        instance: usize,
    },
    /// All messages to one instance vanish on open connections until each is replaced.
    Silence {
        /// Position of the service.
        service: usize,
        /// Which of its instances.
        instance: usize,
    },
    /// The load endpoints of a service state this many slots from now on.
    ReportSlots {
        /// Position of the service.
        service: usize,
        /// Slots.
        slots: u32,
    },
}

//! A chain of services.

use std::time::Duration;

/// One service of the chain.
#[derive(Debug, Clone)]
pub struct Service {
    /// Instances.
    pub instances: usize,
    /// Slots of each instance.
    pub slots: usize,
    /// Mean own work of a call.
    pub work: Duration,
}

/// Services that call one another in order, the first being the entry.
#[derive(Debug, Clone)]
pub struct Graph {
    /// The services.
    pub services: Vec<Service>,
    /// Time of a message from one node to another.
    pub hop: Duration,
}

impl Graph {
    /// Whole requests a second that the slots allow, with no time spent waiting for a slot.
    pub fn capacity(&self) -> f64 {
        let mut hold = 0.0;
        let mut least = f64::INFINITY;
        for (at, service) in self.services.iter().enumerate().rev() {
            if at + 1 < self.services.len() {
                hold += 2.0 * self.hop.as_secs_f64();
            }
            hold += service.work.as_secs_f64();
            least = least.min((service.instances * service.slots) as f64 / hold);
        }
        least
    }
}

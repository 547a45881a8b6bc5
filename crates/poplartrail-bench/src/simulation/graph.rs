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
    pub mean_self_time: Duration,
}

/// Services that call one another in order, the first being the entry.
#[derive(Debug, Clone)]
pub struct Graph {
    /// The services.
    pub services: Vec<Service>,
    /// Time of a message from one node to another.
    pub hop_latency: Duration,
}

impl Graph {
    /// Whole requests a second that the slots allow, with no time spent waiting for a slot.
    pub fn capacity(&self) -> f64 {
        let mut hold = 0.0;
        let mut lowest = f64::INFINITY;
        for (at, service) in self.services.iter().enumerate().rev() {
            if at + 1 < self.services.len() {
                hold += 2.0 * self.hop_latency.as_secs_f64();
            }
            hold += service.mean_self_time.as_secs_f64();
            lowest = lowest.min((service.instances * service.slots) as f64 / hold);
        }
        lowest
    }
}

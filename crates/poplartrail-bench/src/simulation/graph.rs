//! The chain of services that a simulation runs.

use std::time::Duration;

/// A service of the chain.
#[derive(Debug, Clone)]
pub struct Service {
    /// Number of instances, each on its own VM.
    pub instances: usize,
    /// Calls that one instance runs at the same time.
    pub slots: usize,
    /// Mean self time of a call, which is exponentially distributed.
    pub mean_self_time: Duration,
}

/// A linear call graph: each service calls the next one, and the first is the entry.
#[derive(Debug, Clone)]
pub struct Graph {
    /// Services in call order.
    pub services: Vec<Service>,
    /// One-way latency of a message between two nodes.
    pub hop_latency: Duration,
}

impl Graph {
    /// Returns the capacity in requests per second: the lowest ratio of a service's slots to the
    /// time for which a call holds one, provided that no call waits for a slot.
    pub fn capacity(&self) -> f64 {
        let mut hold = 0.0;
        let mut lowest = f64::INFINITY;
        for (index, service) in self.services.iter().enumerate().rev() {
            if index + 1 < self.services.len() {
                hold += 2.0 * self.hop_latency.as_secs_f64();
            }
            hold += service.mean_self_time.as_secs_f64();
            lowest = lowest.min((service.instances * service.slots) as f64 / hold);
        }
        lowest
    }
}

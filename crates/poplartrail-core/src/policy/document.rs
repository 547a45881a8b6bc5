//! Policy of one site: ranks, services and bounds together.

use std::collections::HashSet;

use crate::{
    names::{ServiceName, ZoneName},
    policy::{Bounds, PolicyError, Ranks, error::in_range},
};

/// Range of a service's number of key slots in each availability zone.
const KEY_SLOTS_RANGE: (f64, f64) = (1.0, 1024.0);

/// Settings of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of key slots in each availability zone.
    pub key_slots: u16,
    /// Services that this service is known to call. A node reads their member streams before the
    /// first call.
    pub callees: Vec<ServiceName>,
}

/// Ranks, services and bounds in force at one site.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Ranks, the most urgent first.
    pub ranks: Ranks,
    /// Services of the call graph, each listed once.
    pub services: Vec<ServiceRule>,
    /// Availability zones among which keys are divided. Their order is part of the mapping of keys
    /// to homes.
    pub zones: Vec<ZoneName>,
    /// Bounds on retries, queues and times, which every node enforces.
    pub bounds: Bounds,
}

impl Policy {
    /// Creates a policy after checking that no service or availability zone is listed twice, and
    /// that the numbers of key slots are in range.
    pub fn new(
        ranks: Ranks,
        services: Vec<ServiceRule>,
        zones: Vec<ZoneName>,
        bounds: Bounds,
    ) -> Result<Self, PolicyError> {
        let mut seen = HashSet::new();
        for service in &services {
            let slots = f64::from(service.key_slots);
            in_range("service.key_slots", slots, KEY_SLOTS_RANGE.0, KEY_SLOTS_RANGE.1)?;
            if !seen.insert(service.name.clone()) {
                return Err(PolicyError::Duplicate("service", service.name.to_string()));
            }
        }
        let mut seen = HashSet::new();
        if let Some(zone) = zones.iter().find(|&zone| !seen.insert(zone.clone())) {
            return Err(PolicyError::Duplicate("availability zone", zone.to_string()));
        }
        Ok(Self { ranks, services, zones, bounds })
    }

    /// Returns the settings of the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|s| s.name == *name)
    }
}

//! The whole of what the operators state for one site.

use std::collections::HashSet;

use crate::{
    names::{ServiceName, ZoneName},
    policy::{Bounds, PolicyError, Ranks, error::in_range},
};

/// Range of a service's key slots in each availability zone.
const KEY_SLOTS: (f64, f64) = (1.0, 1024.0);

/// What the operators state of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name of the service.
    pub name: ServiceName,
    /// Number of slots in each availability zone over which keys are divided.
    pub key_slots: u16,
    /// Services that it is known to call, whose members a node learns ahead of the first call.
    pub callees: Vec<ServiceName>,
}

/// Ranks, services and bounds in force at one site.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Ranks, most urgent first.
    pub ranks: Ranks,
    /// Services of the call graph.
    pub services: Vec<ServiceRule>,
    /// Availability zones among which keys are divided, in a fixed order.
    pub zones: Vec<ZoneName>,
    /// Bounds that every node keeps.
    pub bounds: Bounds,
}

impl Policy {
    /// Checks that the parts fit together.
    pub fn new(
        ranks: Ranks,
        services: Vec<ServiceRule>,
        zones: Vec<ZoneName>,
        bounds: Bounds,
    ) -> Result<Self, PolicyError> {
        let mut seen = HashSet::new();
        for service in &services {
            let slots = f64::from(service.key_slots);
            in_range("service.key_slots", slots, KEY_SLOTS.0, KEY_SLOTS.1)?;
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

    /// The rule of the service `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|s| s.name == *name)
    }
}

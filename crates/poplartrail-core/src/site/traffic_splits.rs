//! Division of a route's requests among its services.

use std::collections::HashMap;

use crate::{
    names::{RouteName, ServiceName},
    site::{RouteRule, WeightedService},
};

/// Progress of one route's rotation.
#[derive(Debug)]
struct Rotation {
    parts: Vec<WeightedService>,
    credits: Vec<i64>,
}

/// Smooth weighted round robin over the parts of each route.
///
/// Each part gets its share exactly, however few requests come, and a part that is short of room
/// keeps its share: what does not fit there is refused and not moved to another part.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    rotations: HashMap<RouteName, Rotation>,
}

impl TrafficSplits {
    /// The service for the next request of `rule`; `random` sets where a new rotation starts, so
    /// that nodes with few requests do not all begin with the same part.
    pub fn next_service(&mut self, rule: &RouteRule, random: u64) -> Option<ServiceName> {
        if let [only] = rule.services.as_slice() {
            return Some(only.service.clone());
        }
        let is_same = self.rotations.get(&rule.name).is_some_and(|r| r.parts == rule.services);
        if !is_same {
            self.rotations.insert(rule.name.clone(), Rotation::new(&rule.services, random));
        }
        self.rotations.get_mut(&rule.name)?.next()
    }

    /// Forgets the routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        self.rotations.retain(|name, _| is_kept(name));
    }
}

impl Rotation {
    fn new(parts: &[WeightedService], random: u64) -> Self {
        let mut rotation = Self { parts: parts.to_vec(), credits: vec![0; parts.len()] };
        let total = rotation.total();
        if total > 0 {
            for _ in 0..random % total as u64 % 1024 {
                rotation.next();
            }
        }
        rotation
    }

    fn total(&self) -> i64 {
        self.parts.iter().map(|part| i64::from(part.weight)).sum()
    }

    fn next(&mut self) -> Option<ServiceName> {
        let total = self.total();
        for (credit, part) in self.credits.iter_mut().zip(&self.parts) {
            *credit += i64::from(part.weight);
        }
        let open = (0..self.parts.len()).filter(|&at| self.parts[at].weight > 0);
        let at = open.max_by_key(|&at| (self.credits[at], std::cmp::Reverse(at)))?;
        self.credits[at] -= total;
        Some(self.parts[at].service.clone())
    }
}

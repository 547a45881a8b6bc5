//! Weighted split of a route's requests among its services.

use std::collections::HashMap;

use crate::{
    names::{RouteName, ServiceName},
    site::{RouteRule, WeightedService},
};

/// State of the round robin of one route.
#[derive(Debug)]
struct Rotation {
    services: Vec<WeightedService>,
    credits: Vec<i64>,
}

/// Smooth weighted round robin over the services of each route.
///
/// Each service gets exactly its share, even of a few requests. A service without free capacity
/// keeps its share: requests that do not fit are refused and not moved to another service.
#[derive(Debug, Default)]
pub struct TrafficSplits {
    rotations: HashMap<RouteName, Rotation>,
}

impl TrafficSplits {
    /// Returns the service for the next request of `rule`, or `None` if none of several services
    /// has a weight above 0.
    ///
    /// `random` sets where a new rotation starts, so that nodes with few requests do not all start
    /// with the same service.
    pub fn next_service(&mut self, rule: &RouteRule, random: u64) -> Option<ServiceName> {
        if let [only] = rule.services.as_slice() {
            return Some(only.service.clone());
        }
        let is_current =
            self.rotations.get(&rule.name).is_some_and(|r| r.services == rule.services);
        if !is_current {
            self.rotations.insert(rule.name.clone(), Rotation::new(&rule.services, random));
        }
        self.rotations.get_mut(&rule.name)?.next()
    }

    /// Removes the routes for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        self.rotations.retain(|name, _| is_kept(name));
    }
}

impl Rotation {
    fn new(services: &[WeightedService], random: u64) -> Self {
        let mut rotation = Self { services: services.to_vec(), credits: vec![0; services.len()] };
        let total = rotation.total_weight();
        if total > 0 {
            for _ in 0..random % total as u64 % 1024 {
                rotation.next();
            }
        }
        rotation
    }

    fn total_weight(&self) -> i64 {
        self.services.iter().map(|service| i64::from(service.weight)).sum()
    }

    fn next(&mut self) -> Option<ServiceName> {
        let total = self.total_weight();
        for (credit, service) in self.credits.iter_mut().zip(&self.services) {
            *credit += i64::from(service.weight);
        }
        let candidates = (0..self.services.len()).filter(|&at| self.services[at].weight > 0);
        let at = candidates.max_by_key(|&at| (self.credits[at], std::cmp::Reverse(at)))?;
        self.credits[at] -= total;
        Some(self.services[at].service.clone())
    }
}

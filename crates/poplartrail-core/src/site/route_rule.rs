//! One route: requests that are handled alike.

use std::time::Duration;

use crate::names::{RouteName, ServiceName};

/// One of the services among which a route divides its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight among the parts of the route.
    pub weight: u32,
}

/// How the requests of one route are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: RouteName,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Services that serve the route; at least one with a weight above 0.
    pub services: Vec<WeightedService>,
    /// Longest time for which a request may wait for its answer.
    pub timeout: Duration,
    /// Time within which an answer is of full worth.
    pub target_latency: Duration,
    /// Instances to which one request may be sent.
    pub max_attempts: u8,
    /// Rank among the routes, 0 being the most urgent.
    pub priority: u32,
}

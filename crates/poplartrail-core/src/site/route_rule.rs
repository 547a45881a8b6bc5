//! One route: a set of requests that are handled alike.

use std::time::Duration;

use crate::names::{RouteName, ServiceName};

/// One of the services among which a route splits its requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// Service that receives the requests.
    pub service: ServiceName,
    /// Weight among the services of the route; 0 receives no requests.
    pub weight: u32,
}

/// Rule by which the requests of one route are handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteRule {
    /// Name that identifies the route within the site.
    pub name: RouteName,
    /// Whether a request of the route may run more than once.
    pub is_idempotent: bool,
    /// Services that serve the route; at least one has a weight above 0.
    pub services: Vec<WeightedService>,
    /// Maximum time for which a request may wait for its answer.
    pub timeout: Duration,
    /// Latency within which an answer is of full value to the caller.
    pub target_latency: Duration,
    /// Maximum number of instances to which one request may be sent.
    pub max_attempts: u8,
    /// Priority among the routes, 0 being the most urgent.
    pub priority: u32,
}

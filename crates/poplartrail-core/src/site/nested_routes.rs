//! Which routes are called by upstreams, for requests that they work on.

use std::collections::HashMap;

use crate::names::RouteName;

/// Weight of one request in the averages.
const WEIGHT: f64 = 0.1;
/// Fraction of a route's requests with a parent from which it counts as one that upstreams call.
///
/// The deadline of a caller's request meets that of a running one by chance, now and then; the
/// deadline of an upstream's call is that of its parent, unless its own limit is shorter.
const MOSTLY: f64 = 0.5;

/// For each route, how often a request ended together with one that the own upstream worked on.
///
/// Nothing that a request carries passes through an upstream, and callers use the same address, so
/// a route's place in the call graph is inferred: a call expires together with its parent.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    with_parent: HashMap<RouteName, f64>,
}

impl NestedRoutes {
    /// Takes in a request of `route` and tells whether the route is one that upstreams call.
    ///
    /// `has_parent` tells whether the own upstream works on a request with the same deadline;
    /// `None` if the request states no deadline.
    pub fn observe(&mut self, route: &RouteName, has_parent: Option<bool>) -> bool {
        if !self.with_parent.contains_key(route) {
            self.with_parent.insert(route.clone(), 0.0);
        }
        let Some(average) = self.with_parent.get_mut(route) else { return false };
        if let Some(has_parent) = has_parent {
            *average += WEIGHT * (f64::from(u8::from(has_parent)) - *average);
        }
        *average > MOSTLY
    }

    /// Forgets the routes for which `is_kept` does not hold.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        self.with_parent.retain(|name, _| is_kept(name));
    }
}

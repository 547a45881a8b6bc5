//! Detection of routes that upstreams call for requests they are already working on.

use std::collections::HashMap;

use crate::names::RouteName;

/// Weight of one request in the moving average of its route.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Fraction of a route's requests with a parent above which the route counts as nested.
///
/// The deadline of a caller's request sometimes equals that of a running request by chance. The
/// deadline of an upstream's call is that of its parent, unless the call has a shorter limit of its
/// own.
const NESTED_FRACTION: f64 = 0.5;

/// For each route, the fraction of requests with the deadline of a request that the local upstream
/// is working on.
///
/// Upstreams do not forward metadata of a request to the calls they make for it, and callers use
/// the same address as upstreams. Whether a route is nested is therefore inferred: a nested call
/// expires together with its parent.
#[derive(Debug, Default)]
pub struct NestedRoutes {
    nested_fraction: HashMap<RouteName, f64>,
}

impl NestedRoutes {
    /// Records a request of `route` and returns whether the route is nested.
    ///
    /// `has_parent` states whether the local upstream is working on a request with the same
    /// deadline; it is `None` if the request has no deadline.
    pub fn observe(&mut self, route: &RouteName, has_parent: Option<bool>) -> bool {
        if !self.nested_fraction.contains_key(route) {
            self.nested_fraction.insert(route.clone(), 0.0);
        }
        let Some(fraction) = self.nested_fraction.get_mut(route) else { return false };
        if let Some(has_parent) = has_parent {
            *fraction += SAMPLE_WEIGHT * (f64::from(u8::from(has_parent)) - *fraction);
        }
        *fraction > NESTED_FRACTION
    }

    /// Removes the routes for which `is_kept` returns `false`.
    pub fn retain(&mut self, is_kept: impl Fn(&RouteName) -> bool) {
        self.nested_fraction.retain(|name, _| is_kept(name));
    }
}

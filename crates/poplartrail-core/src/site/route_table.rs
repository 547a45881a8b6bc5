//! Selection of a route by host and path.

use std::{collections::HashMap, sync::Arc};

use crate::site::RouteRule;

/// Routes of one host by path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoutes {
    /// Host name, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefixes with their rules; each prefix begins and ends with a slash.
    pub prefixes: Vec<(Arc<str>, RouteRule)>,
}

/// A path prefix with the rule for its requests.
type PrefixRule = (Arc<str>, Arc<RouteRule>);

/// All routes of a site.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Path prefixes of each host, the longest first.
    hosts: HashMap<Arc<str>, Vec<PrefixRule>>,
}

impl RouteTable {
    /// Creates a table of the routes of `hosts`.
    pub fn new(hosts: Vec<HostRoutes>) -> Self {
        let mut table = Self::default();
        for host in hosts {
            let prefixes = table.hosts.entry(host.host).or_default();
            prefixes.extend(host.prefixes.into_iter().map(|(p, rule)| (p, Arc::new(rule))));
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        table
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// `host` must be in lower case and without a port, `path` without a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let prefixes = self.hosts.get(host)?;
        prefixes.iter().find(|(prefix, _)| path.starts_with(&**prefix)).map(|(_, rule)| rule)
    }

    /// Returns all routes in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten().map(|(_, rule)| rule)
    }
}

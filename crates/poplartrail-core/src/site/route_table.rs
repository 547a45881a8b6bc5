//! Selection of a route by host and path.

use std::{collections::HashMap, sync::Arc};

use crate::site::RouteRule;

/// The routes of one host by path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostRoutes {
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// Path prefixes, each of which begins and ends with a slash, with their rules.
    pub prefixes: Vec<(Arc<str>, RouteRule)>,
}

/// A path prefix with the rule of its requests.
type PrefixRule = (Arc<str>, Arc<RouteRule>);

/// All routes of a site.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteTable {
    /// Prefixes of each host, the longest first.
    hosts: HashMap<Arc<str>, Vec<PrefixRule>>,
}

impl RouteTable {
    /// A table of the routes of `hosts`.
    pub fn new(hosts: Vec<HostRoutes>) -> Self {
        let mut table = Self::default();
        for host in hosts {
            let prefixes = table.hosts.entry(host.host).or_default();
            prefixes.extend(host.prefixes.into_iter().map(|(p, rule)| (p, Arc::new(rule))));
            prefixes.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        }
        table
    }

    /// The route of the longest prefix of `path` among those of `host`.
    ///
    /// `host` is in lower case and has no port; `path` has no query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let prefixes = self.hosts.get(host)?;
        prefixes.iter().find(|(prefix, _)| path.starts_with(&**prefix)).map(|(_, rule)| rule)
    }

    /// Every route, in no particular order.
    pub fn rules(&self) -> impl Iterator<Item = &Arc<RouteRule>> {
        self.hosts.values().flatten().map(|(_, rule)| rule)
    }
}

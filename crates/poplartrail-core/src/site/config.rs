//! One version of the configuration of a site.

use std::{collections::BTreeSet, fmt, time::Duration};

use bytes::Bytes;

use crate::{
    names::{RankName, ServiceName},
    policy::{Bounds, Policy, PolicyError, Rank, Ranks, ServiceRule},
    site::{
        CallerLimits, RankTable, RouteTable,
        rank_table::{Urgency, urgency},
    },
};

/// Most ranks that the priorities of routes are folded into.
const MAX_RANKS: usize = 16;
/// Weight of a rank relative to the next less urgent one; the queue orders by rank alone.
const RANK_WORTH: f64 = 2.0;
/// Range of a rank's target that a policy takes.
const TARGETS: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(600));

/// Number of a version; a later one is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SiteVersion(pub u64);

impl fmt::Display for SiteVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The routes and limits that the operators have in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Its version.
    pub version: SiteVersion,
    /// Its routes.
    pub routes: RouteTable,
    /// Services that it names.
    pub services: Vec<ServiceName>,
    /// Bounds on the connections of callers.
    pub limits: CallerLimits,
    /// The document as the operators wrote it, to be handed to other nodes.
    pub document: Bytes,
}

impl SiteConfig {
    /// The ranks of the routes; it is made anew at each call.
    pub fn ranks(&self) -> RankTable {
        let named = self.urgencies().into_iter().enumerate();
        RankTable(named.map(|(at, urgency)| (urgency, rank_name(at.min(MAX_RANKS - 1)))).collect())
    }

    /// The ranks, services and bounds that follow from the routes.
    ///
    /// Each priority and target becomes a rank of its own: by priority first, and within one the
    /// shortest target first, as its requests have the least time to wait.
    pub fn policy(&self, bounds: Bounds) -> Result<Policy, PolicyError> {
        let urgencies = self.urgencies();
        let ranks = urgencies.iter().take(MAX_RANKS).enumerate().map(|(at, (_, target))| Rank {
            name: rank_name(at),
            target: (*target).clamp(TARGETS.0, TARGETS.1),
            worth: RANK_WORTH.powi((MAX_RANKS - at) as i32),
            is_urgent: false,
        });
        let mut ranks: Vec<Rank> = ranks.collect();
        if ranks.is_empty() {
            let target = TARGETS.1;
            ranks.push(Rank { name: rank_name(0), target, worth: 1.0, is_urgent: false });
        }
        let services = self.services.iter().map(|name| ServiceRule {
            name: name.clone(),
            key_slots: 1,
            callees: Vec::new(),
        });
        Policy::new(Ranks::new(ranks)?, services.collect(), Vec::new(), bounds)
    }

    /// The urgencies of all routes, the greatest first.
    fn urgencies(&self) -> BTreeSet<Urgency> {
        self.routes.rules().map(|rule| urgency(rule)).collect()
    }
}

fn rank_name(at: usize) -> RankName {
    RankName::new(format!("p{at}")).expect("a letter and a number make a valid name")
}

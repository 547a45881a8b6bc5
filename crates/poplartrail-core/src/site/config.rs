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

/// Maximum number of ranks; the least urgent routes share the last one.
const MAX_RANKS: usize = 16;
/// Ratio of the worth of a rank to that of the next less urgent one. The queue orders by rank, not
/// by worth.
const RANK_WORTH_RATIO: f64 = 2.0;
/// Range of a rank's target that a policy accepts.
const TARGET_RANGE: (Duration, Duration) = (Duration::from_millis(1), Duration::from_secs(600));

/// Version number of a configuration; a later version has a greater number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct SiteVersion(pub u64);

impl fmt::Display for SiteVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// Routes and limits that the operators have set for a site.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteConfig {
    /// Version of this configuration.
    pub version: SiteVersion,
    /// Routes by host and path prefix.
    pub routes: RouteTable,
    /// Services that the configuration names.
    pub services: Vec<ServiceName>,
    /// Limits on the connections of callers.
    pub limits: CallerLimits,
    /// Document as the operators wrote it, to be passed on to other nodes.
    pub document: Bytes,
}

impl SiteConfig {
    /// Computes the ranks of the routes. The result is not cached.
    pub fn ranks(&self) -> RankTable {
        let urgencies = self.urgencies().into_iter().enumerate();
        RankTable(
            urgencies.map(|(at, urgency)| (urgency, rank_name(at.min(MAX_RANKS - 1)))).collect(),
        )
    }

    /// Derives the policy that follows from the routes, with the given `bounds`.
    ///
    /// Each pair of priority and target becomes a rank. Ranks are ordered by priority, and within
    /// one priority by target, the shortest first, because its requests have the least time to
    /// wait.
    pub fn policy(&self, bounds: Bounds) -> Result<Policy, PolicyError> {
        let urgencies = self.urgencies();
        let ranks = urgencies.iter().take(MAX_RANKS).enumerate().map(|(at, (_, target))| Rank {
            name: rank_name(at),
            target: (*target).clamp(TARGET_RANGE.0, TARGET_RANGE.1),
            worth: RANK_WORTH_RATIO.powi((MAX_RANKS - at) as i32),
            is_urgent: false,
        });
        let mut ranks: Vec<Rank> = ranks.collect();
        if ranks.is_empty() {
            let target = TARGET_RANGE.1;
            ranks.push(Rank { name: rank_name(0), target, worth: 1.0, is_urgent: false });
        }
        let services = self.services.iter().map(|name| ServiceRule {
            name: name.clone(),
            key_slots: 1,
            callees: Vec::new(),
        });
        Policy::new(Ranks::new(ranks)?, services.collect(), Vec::new(), bounds)
    }

    /// Returns the distinct urgencies of all routes, the most urgent first.
    fn urgencies(&self) -> BTreeSet<Urgency> {
        self.routes.rules().map(|rule| urgency(rule)).collect()
    }
}

fn rank_name(at: usize) -> RankName {
    RankName::new(format!("p{at}")).expect("a letter and a number make a valid name")
}

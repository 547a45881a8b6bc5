//! Ranks of the routes of a site.

use std::{collections::BTreeMap, time::Duration};

use crate::{names::RankName, site::RouteRule};

/// Priority and target latency of a route, which order its requests against others. The smallest
/// value is the most urgent.
pub(crate) type Urgency = (u32, Duration);

/// Rank of each urgency among the routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RankTable(pub(crate) BTreeMap<Urgency, RankName>);

impl RankTable {
    /// Returns the rank of the requests of `rule`, or `None` if no route of that version has its
    /// urgency.
    pub fn rank_of(&self, rule: &RouteRule) -> Option<&RankName> {
        self.0.get(&urgency(rule))
    }
}

pub(crate) fn urgency(rule: &RouteRule) -> Urgency {
    (rule.priority, rule.target_latency)
}

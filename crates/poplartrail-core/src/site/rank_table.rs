//! Ranks of the routes of a site.

use std::{collections::BTreeMap, time::Duration};

use crate::{names::RankName, site::RouteRule};

/// What orders the requests of a route among others: its priority and target. The smallest is the
/// most urgent.
pub(crate) type Urgency = (u32, Duration);

/// The rank of each urgency among the routes of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RankTable(pub(crate) BTreeMap<Urgency, RankName>);

impl RankTable {
    /// The rank of the requests of `rule`, if it is a route of that version.
    pub fn rank_of(&self, rule: &RouteRule) -> Option<&RankName> {
        self.0.get(&urgency(rule))
    }
}

pub(crate) fn urgency(rule: &RouteRule) -> Urgency {
    (rule.priority, rule.target_latency)
}

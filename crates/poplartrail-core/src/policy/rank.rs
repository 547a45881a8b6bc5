//! Ranks: classes of requests, ordered by urgency.

use std::time::Duration;

use crate::{
    names::RankName,
    policy::{PolicyError, error::in_range},
};

/// Maximum number of ranks in a policy.
pub(crate) const MAX_RANKS: usize = 16;
/// Range of a rank's worth.
const WORTH_RANGE: (f64, f64) = (0.001, 1_000_000.0);
/// Range of a rank's target, in milliseconds.
const TARGET_MS_RANGE: (f64, f64) = (1.0, 600_000.0);

/// Position of a rank in its policy, 0 being the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RankIndex(pub u8);

impl RankIndex {
    /// Returns the position as an index of a slice.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// One rank: a class of requests with the same urgency.
#[derive(Debug, Clone, PartialEq)]
pub struct Rank {
    /// Name by which callers state the rank.
    pub name: RankName,
    /// Target latency of a request, from its arrival at the entry node to its answer.
    pub target: Duration,
    /// Weight by which the capacity that urgent ranks leave is divided among the other ranks.
    pub worth: f64,
    /// Whether the rank is shed only after all ranks that are not urgent.
    pub is_urgent: bool,
}

/// All ranks of a policy, the most urgent first.
#[derive(Debug, Clone, PartialEq)]
pub struct Ranks(Vec<Rank>);

impl Ranks {
    /// Creates the ranks after checking their number, order, names, worth and targets.
    pub fn new(ranks: Vec<Rank>) -> Result<Self, PolicyError> {
        if ranks.is_empty() {
            return Err(PolicyError::NoRank);
        }
        if ranks.len() > MAX_RANKS {
            return Err(PolicyError::TooManyRanks(ranks.len()));
        }
        for (at, rank) in ranks.iter().enumerate() {
            in_range("rank.worth", rank.worth, WORTH_RANGE.0, WORTH_RANGE.1)?;
            let target_ms = rank.target.as_secs_f64() * 1e3;
            in_range("rank.target_ms", target_ms, TARGET_MS_RANGE.0, TARGET_MS_RANGE.1)?;
            if ranks[..at].iter().any(|r| r.name == rank.name) {
                return Err(PolicyError::Duplicate("rank", rank.name.to_string()));
            }
            if rank.is_urgent && ranks[..at].iter().any(|r| !r.is_urgent) {
                return Err(PolicyError::UrgentAfterNonUrgent(rank.name.to_string()));
            }
        }
        Ok(Self(ranks))
    }

    /// Returns the position of the rank `name`.
    pub fn find(&self, name: &RankName) -> Option<RankIndex> {
        self.0.iter().position(|r| r.name == *name).map(|at| RankIndex(at as u8))
    }

    /// Returns the rank at `index`.
    pub fn get(&self, index: RankIndex) -> &Rank {
        &self.0[index.index()]
    }

    /// Returns the number of ranks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns `false`, because a policy has at least one rank.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the ranks, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = &Rank> {
        self.0.iter()
    }
}

//! Ranks of work in the order of their urgency.

use std::time::Duration;

use crate::{
    names::RankName,
    policy::{PolicyError, error::in_range},
};

/// Most ranks that a policy may list.
pub(crate) const MAX_RANKS: usize = 16;
/// Range of a rank's worth.
const WORTH: (f64, f64) = (0.001, 1_000_000.0);
/// Range of a rank's target, in milliseconds.
const TARGET_MS: (f64, f64) = (1.0, 600_000.0);

/// Position of a rank, 0 being the most urgent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RankIndex(pub u8);

impl RankIndex {
    /// The position as an index.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

/// One rank of work.
#[derive(Debug, Clone, PartialEq)]
pub struct Rank {
    /// Name that callers state.
    pub name: RankName,
    /// Time within which a whole request is to be answered.
    pub target: Duration,
    /// Weight in the division of what the urgent ranks leave.
    pub worth: f64,
    /// Whether the rank is shed only after every rank that is not urgent.
    pub is_urgent: bool,
}

/// All ranks, most urgent first.
#[derive(Debug, Clone, PartialEq)]
pub struct Ranks(Vec<Rank>);

impl Ranks {
    /// Checks the order, the names and the numbers.
    pub fn new(ranks: Vec<Rank>) -> Result<Self, PolicyError> {
        if ranks.is_empty() {
            return Err(PolicyError::NoRank);
        }
        if ranks.len() > MAX_RANKS {
            return Err(PolicyError::TooManyRanks(ranks.len()));
        }
        for (at, rank) in ranks.iter().enumerate() {
            in_range("rank.worth", rank.worth, WORTH.0, WORTH.1)?;
            let target_ms = rank.target.as_secs_f64() * 1e3;
            in_range("rank.target_ms", target_ms, TARGET_MS.0, TARGET_MS.1)?;
            if ranks[..at].iter().any(|r| r.name == rank.name) {
                return Err(PolicyError::Duplicate("rank", rank.name.to_string()));
            }
            if rank.is_urgent && ranks[..at].iter().any(|r| !r.is_urgent) {
                return Err(PolicyError::UrgentBelow(rank.name.to_string()));
            }
        }
        Ok(Self(ranks))
    }

    /// The position of the rank `name`.
    pub fn find(&self, name: &RankName) -> Option<RankIndex> {
        self.0.iter().position(|r| r.name == *name).map(|at| RankIndex(at as u8))
    }

    /// The rank at `index`.
    pub fn get(&self, index: RankIndex) -> &Rank {
        &self.0[index.index()]
    }

    /// Number of ranks.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Always `false`: a policy has at least one rank.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The ranks, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = &Rank> {
        self.0.iter()
    }
}

//! Leases of slots, as the platform log decides them.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    keys::{Epoch, Home},
    names::VmName,
    time::WallTime,
};

/// What a record in the log asks of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Take a slot that nobody holds.
    Claim,
    /// Go on holding a slot.
    Renew,
    /// Give a slot up; no key minted after `last_accepted` was accepted.
    Release {
        /// Latest mint time that the holder may have accepted.
        last_accepted: WallTime,
    },
}

/// How long a lease lasts and how far mint times may lie ahead, as its record states.
///
/// Each record carries its own terms, so that a change of configuration
/// cannot make two nodes judge the same record differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Length of the lease from the log's timestamp on.
    pub duration: Duration,
    /// Greatest difference between two clocks that keys may show.
    pub max_skew: Duration,
}

/// Longest term that a record may state.
const MAX_TERM: Duration = Duration::from_secs(1800);
/// Greatest skew that a record may state.
const MAX_SKEW: Duration = Duration::from_secs(60);

impl LeaseTerms {
    fn bounded(self) -> Self {
        Self { duration: self.duration.min(MAX_TERM), max_skew: self.max_skew.min(MAX_SKEW) }
    }
}

/// The lease of one slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// VM that holds the slot.
    pub holder: VmName,
    /// Number that grows with each start of the holder's node.
    pub incarnation: u64,
    /// End of the lease, by the clock of the log.
    pub expires_at: WallTime,
    /// Mint times that the holder accepts.
    pub epoch: Epoch,
    /// Whether its claim is among the records that are gone.
    is_guess: bool,
}

/// Leases of all slots of one service, folded from the log.
///
/// Each record is judged by the log's own timestamp, so every node that reads the same records
/// comes to the same result. If the oldest records are gone, a reader cannot judge a claim or a
/// renewal of a slot until every lease from before must have run out. Until then it takes the
/// slot for held by whoever renews it, and each record that it cannot judge keeps the slot from
/// being free for as long as the record could make it held.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Home, Lease>,
    doubts: BTreeMap<Home, WallTime>,
    trusted_from: WallTime,
}

impl LeaseTable {
    /// States that records before `oldest` are gone.
    pub fn observe_truncation(&mut self, oldest: WallTime) {
        self.trusted_from = self.trusted_from.max(oldest + MAX_TERM);
    }

    /// The lease of `home`, current or past.
    pub fn get(&self, home: &Home) -> Option<&Lease> {
        self.leases.get(home)
    }

    /// Whether nobody holds `home` at the log's time `at`.
    pub fn is_free(&self, home: &Home, at: WallTime) -> bool {
        !self.is_in_doubt(home, at)
            && self.leases.get(home).is_none_or(|lease| lease.expires_at <= at)
    }

    /// Whether records of `home` at `at` cannot be judged.
    fn is_in_doubt(&self, home: &Home, at: WallTime) -> bool {
        at < self.trusted_from || self.doubts.get(home).is_some_and(|until| at < *until)
    }

    /// Notes a record that cannot be judged and may have made its sender the holder.
    fn doubt(&mut self, home: &Home, next: &Term<'_>) {
        let until = self.doubts.entry(home.clone()).or_default();
        *until = (*until).max(next.at + next.terms.duration);
    }

    /// Homes held by `holder` at the log's time `at`.
    pub fn held_by<'a>(
        &'a self,
        holder: &'a VmName,
        incarnation: u64,
        at: WallTime,
    ) -> impl Iterator<Item = (&'a Home, &'a Lease)> {
        self.leases.iter().filter(move |(_, lease)| lease.is_held_by(holder, incarnation, at))
    }

    /// Folds one record that the log stamped `at`. Returns whether it took effect.
    pub fn apply(
        &mut self,
        at: WallTime,
        home: &Home,
        holder: &VmName,
        incarnation: u64,
        terms: LeaseTerms,
        change: LeaseChange,
    ) -> bool {
        let next = Term { at, holder, incarnation, terms: terms.bounded() };
        match change {
            LeaseChange::Claim => self.claim(home, &next),
            LeaseChange::Renew => self.renew(home, &next),
            LeaseChange::Release { last_accepted } => {
                self.release(at, home, holder, incarnation, last_accepted)
            }
        }
    }

    fn claim(&mut self, home: &Home, next: &Term<'_>) -> bool {
        if !self.is_free(home, next.at) {
            let is_guess = self.leases.get(home).is_some_and(|lease| lease.is_guess);
            if is_guess || self.is_in_doubt(home, next.at) {
                self.doubt(home, next);
            }
            return false;
        }
        let floor = match self.leases.get(home) {
            Some(last) if !last.is_guess => last.epoch.ceiling,
            // What a forgotten holder accepted ends at most one skew after its lease.
            _ if self.trusted_from > WallTime::default() => next.at + MAX_SKEW,
            _ => next.at,
        };
        self.leases.insert(home.clone(), next.lease(floor, false));
        true
    }

    fn renew(&mut self, home: &Home, next: &Term<'_>) -> bool {
        let is_in_doubt = self.is_in_doubt(home, next.at);
        let (floor, is_guess) = match self.leases.get(home) {
            Some(lease) if lease.is_held_by(next.holder, next.incarnation, next.at) => {
                (lease.epoch.floor, lease.is_guess)
            }
            Some(lease) if lease.expires_at > next.at => {
                if lease.is_guess || is_in_doubt {
                    self.doubt(home, next);
                }
                return false;
            }
            _ if is_in_doubt => (next.at, true),
            _ => return false,
        };
        self.leases.insert(home.clone(), next.lease(floor, is_guess));
        true
    }

    fn release(
        &mut self,
        at: WallTime,
        home: &Home,
        holder: &VmName,
        incarnation: u64,
        last_accepted: WallTime,
    ) -> bool {
        let Some(lease) = self.leases.get_mut(home) else { return false };
        if !lease.is_held_by(holder, incarnation, at) {
            return false;
        }
        lease.expires_at = at;
        lease.epoch.ceiling = last_accepted.max(lease.epoch.floor);
        true
    }
}

impl Lease {
    /// Whether `holder` holds the lease at the log's time `at`.
    pub fn is_held_by(&self, holder: &VmName, incarnation: u64, at: WallTime) -> bool {
        self.holder == *holder && self.incarnation == incarnation && self.expires_at > at
    }
}

/// A lease that a record asks for.
struct Term<'a> {
    at: WallTime,
    holder: &'a VmName,
    incarnation: u64,
    terms: LeaseTerms,
}

impl Term<'_> {
    fn lease(&self, floor: WallTime, is_guess: bool) -> Lease {
        let expires_at = self.at + self.terms.duration;
        let ceiling = (expires_at + self.terms.max_skew).max(floor);
        Lease {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            expires_at,
            epoch: Epoch { floor, ceiling },
            is_guess,
        }
    }
}

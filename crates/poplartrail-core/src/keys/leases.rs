//! Leases of key slots, as decided by the order of records in the platform log.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    keys::{Epoch, Home},
    names::VmName,
    time::WallTime,
};

/// Change of a lease that a record in the log asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseChange {
    /// Take a key slot that nobody holds.
    Claim,
    /// Extend the lease of a slot that the sender holds.
    Renew,
    /// End the lease early. The holder accepted no key minted after `last_accepted`.
    Release {
        /// Latest mint time of any key that the holder may have accepted.
        last_accepted: WallTime,
    },
}

/// Duration of a lease, and how far mint times may lie ahead, as the record of the lease states.
///
/// Each record carries its own terms, so that a change of configuration cannot make two nodes
/// evaluate the same record differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of the lease, counted from the log's timestamp of the record.
    pub duration: Duration,
    /// Largest difference between two clocks: a key may be minted this long after the end of the
    /// lease.
    pub max_skew: Duration,
}

/// Longest duration of a lease; a record that states more is cut to it.
const MAX_DURATION: Duration = Duration::from_secs(1800);
/// Largest clock skew; a record that states more is cut to it.
const MAX_SKEW: Duration = Duration::from_secs(60);

impl LeaseTerms {
    fn bounded(self) -> Self {
        Self { duration: self.duration.min(MAX_DURATION), max_skew: self.max_skew.min(MAX_SKEW) }
    }
}

/// Lease of one key slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// VM of the node that holds the slot.
    pub holder: VmName,
    /// Incarnation of the holder: a number that grows with each start of its node.
    pub incarnation: u64,
    /// End of the lease, by the clock of the log.
    pub expires_at: WallTime,
    /// Range of mint times that the holder accepts.
    pub epoch: Epoch,
    /// Whether the log has dropped the claim, so that the holder is known from its renewals alone.
    is_unconfirmed: bool,
}

/// Leases of all key slots of one service, folded from the log.
///
/// Every record is evaluated at the log's own timestamp, so all nodes that read the same records
/// reach the same result. If the log has dropped its oldest records, a reader cannot evaluate a
/// claim or a renewal of a slot until every lease from before the gap must have expired. Until
/// then it treats the node that renews the slot as its holder, and each record that it cannot
/// evaluate keeps the slot from being free for as long as the record could make its sender the
/// holder.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Home, Lease>,
    /// Time until which a slot may be held by the sender of a record that could not be evaluated.
    uncertain_until: BTreeMap<Home, WallTime>,
    /// Time from which every lease from before the gap has expired.
    certain_from: WallTime,
}

impl LeaseTable {
    /// Observes that the log has dropped all records from before `oldest`.
    pub fn observe_truncation(&mut self, oldest: WallTime) {
        self.certain_from = self.certain_from.max(oldest + MAX_DURATION);
    }

    /// Returns the newest lease of `home`, which may have expired.
    pub fn get(&self, home: &Home) -> Option<&Lease> {
        self.leases.get(home)
    }

    /// Returns whether nobody holds `home` at the log's time `at`.
    pub fn is_free(&self, home: &Home, at: WallTime) -> bool {
        !self.is_uncertain(home, at)
            && self.leases.get(home).is_none_or(|lease| lease.expires_at <= at)
    }

    /// Returns whether it is uncertain who holds `home` at the log's time `at`.
    fn is_uncertain(&self, home: &Home, at: WallTime) -> bool {
        at < self.certain_from || self.uncertain_until.get(home).is_some_and(|until| at < *until)
    }

    /// Records that the sender of `request`, which cannot be evaluated, may hold `home`.
    fn mark_uncertain(&mut self, home: &Home, request: &LeaseRequest<'_>) {
        let until = self.uncertain_until.entry(home.clone()).or_default();
        *until = (*until).max(request.at + request.terms.duration);
    }

    /// Returns the homes that `holder` holds at the log's time `at`, with their leases.
    pub fn held_by<'a>(
        &'a self,
        holder: &'a VmName,
        incarnation: u64,
        at: WallTime,
    ) -> impl Iterator<Item = (&'a Home, &'a Lease)> {
        self.leases.iter().filter(move |(_, lease)| lease.is_held_by(holder, incarnation, at))
    }

    /// Applies one record that the log stamped `at`, and returns whether it took effect.
    pub fn apply(
        &mut self,
        at: WallTime,
        home: &Home,
        holder: &VmName,
        incarnation: u64,
        terms: LeaseTerms,
        change: LeaseChange,
    ) -> bool {
        let request = LeaseRequest { at, holder, incarnation, terms: terms.bounded() };
        match change {
            LeaseChange::Claim => self.claim(home, &request),
            LeaseChange::Renew => self.renew(home, &request),
            LeaseChange::Release { last_accepted } => {
                self.release(at, home, holder, incarnation, last_accepted)
            }
        }
    }

    fn claim(&mut self, home: &Home, request: &LeaseRequest<'_>) -> bool {
        if !self.is_free(home, request.at) {
            let is_unconfirmed = self.leases.get(home).is_some_and(|lease| lease.is_unconfirmed);
            if is_unconfirmed || self.is_uncertain(home, request.at) {
                self.mark_uncertain(home, request);
            }
            return false;
        }
        let floor = match self.leases.get(home) {
            Some(last) if !last.is_unconfirmed => last.epoch.ceiling,
            // A holder whose records were dropped accepted no key minted later than one skew after
            // the end of its lease.
            _ if self.certain_from > WallTime::default() => request.at + MAX_SKEW,
            _ => request.at,
        };
        self.leases.insert(home.clone(), request.lease(floor, false));
        true
    }

    fn renew(&mut self, home: &Home, request: &LeaseRequest<'_>) -> bool {
        let is_uncertain = self.is_uncertain(home, request.at);
        let (floor, is_unconfirmed) = match self.leases.get(home) {
            Some(lease) if lease.is_held_by(request.holder, request.incarnation, request.at) => {
                (lease.epoch.floor, lease.is_unconfirmed)
            }
            Some(lease) if lease.expires_at > request.at => {
                if lease.is_unconfirmed || is_uncertain {
                    self.mark_uncertain(home, request);
                }
                return false;
            }
            _ if is_uncertain => (request.at, true),
            _ => return false,
        };
        self.leases.insert(home.clone(), request.lease(floor, is_unconfirmed));
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
    /// Returns whether `holder` holds the lease at the log's time `at`.
    pub fn is_held_by(&self, holder: &VmName, incarnation: u64, at: WallTime) -> bool {
        self.holder == *holder && self.incarnation == incarnation && self.expires_at > at
    }
}

/// A claim or a renewal that a record asks for.
struct LeaseRequest<'a> {
    at: WallTime,
    holder: &'a VmName,
    incarnation: u64,
    terms: LeaseTerms,
}

impl LeaseRequest<'_> {
    fn lease(&self, floor: WallTime, is_unconfirmed: bool) -> Lease {
        let expires_at = self.at + self.terms.duration;
        let ceiling = (expires_at + self.terms.max_skew).max(floor);
        Lease {
            holder: self.holder.clone(),
            incarnation: self.incarnation,
            expires_at,
            epoch: Epoch { floor, ceiling },
            is_unconfirmed,
        }
    }
}

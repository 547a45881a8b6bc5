//! Leases of key slots, as decided by the order of records in the platform log.
//!
//! The idempotency keys of a service are divided among key slots. Only the node that holds the
//! lease of a slot accepts its keys: it runs the call of a key, or returns the stored outcome. A
//! key contains the time at which the caller created (minted) it. Nodes append claims, renewals and
//! releases to the stream of their service in the platform log. All nodes read them in one order,
//! and this order decides who holds a slot.

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

/// Duration of a lease and maximum clock skew, as stated in the record that asks for the lease.
///
/// Each record carries its own terms, so that a change of configuration cannot make two nodes
/// evaluate the same record differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTerms {
    /// Duration of the lease, counted from the log's timestamp of the record.
    pub duration: Duration,
    /// Largest assumed difference between two clocks. The holder accepts keys with a mint time up
    /// to this long after the end of the lease.
    pub max_skew: Duration,
}

/// Maximum duration of a lease; a longer one in a record is reduced to this.
const MAX_DURATION: Duration = Duration::from_secs(1800);
/// Maximum clock skew that a record may state; a larger one is reduced to this.
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

/// Leases of all key slots of one service, folded from the log. A [`Home`] identifies a slot by its
/// availability zone and number.
///
/// Every record is evaluated at the log's own timestamp, so all nodes that read the same records
/// reach the same result. If the log has dropped its oldest records, a reader cannot evaluate a
/// claim or a renewal of a slot until every lease that the dropped records may have granted has
/// expired. Until then it treats the node that renews the slot as its holder. A record that it
/// cannot evaluate may have made its sender the holder, so the slot does not count as free until
/// the lease asked for by that record would have expired.
#[derive(Debug, Clone, Default)]
pub struct LeaseTable {
    leases: BTreeMap<Home, Lease>,
    /// Time until which a slot may be held by the sender of a record that could not be evaluated.
    uncertain_until: BTreeMap<Home, WallTime>,
    /// Time by which every lease that the dropped records may have granted has expired.
    certain_from: WallTime,
}

impl LeaseTable {
    /// Treats records as uncertain for as long as leases from before `oldest`, the timestamp of the
    /// oldest record that the log still has, may last.
    pub fn observe_truncation(&mut self, oldest: WallTime) {
        self.certain_from = self.certain_from.max(oldest + MAX_DURATION);
    }

    /// Returns the newest lease of `home`, which may have expired.
    pub fn get(&self, home: &Home) -> Option<&Lease> {
        self.leases.get(home)
    }

    /// Returns whether it is certain that nobody holds `home` at the log's time `at`.
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

    /// Returns the key slots that this incarnation of `holder` holds at the log's time `at`, with
    /// their leases.
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
        sender: &VmName,
        incarnation: u64,
        terms: LeaseTerms,
        change: LeaseChange,
    ) -> bool {
        let request = LeaseRequest { at, sender, incarnation, terms: terms.bounded() };
        match change {
            LeaseChange::Claim => self.claim(home, &request),
            LeaseChange::Renew => self.renew(home, &request),
            LeaseChange::Release { last_accepted } => {
                self.release(at, home, sender, incarnation, last_accepted)
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
            // The leases that dropped records granted have expired by now, and their holders
            // accepted no key minted more than `MAX_SKEW` after the end of a lease.
            _ if self.certain_from > WallTime::default() => request.at + MAX_SKEW,
            _ => request.at,
        };
        self.leases.insert(home.clone(), request.lease(floor, false));
        true
    }

    fn renew(&mut self, home: &Home, request: &LeaseRequest<'_>) -> bool {
        let is_uncertain = self.is_uncertain(home, request.at);
        let (floor, is_unconfirmed) = match self.leases.get(home) {
            Some(lease) if lease.is_held_by(request.sender, request.incarnation, request.at) => {
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
    /// Returns whether this incarnation of `holder` holds the lease at the log's time `at`.
    pub fn is_held_by(&self, holder: &VmName, incarnation: u64, at: WallTime) -> bool {
        self.holder == *holder && self.incarnation == incarnation && self.expires_at > at
    }
}

/// A claim or a renewal that a record asks for.
struct LeaseRequest<'a> {
    at: WallTime,
    sender: &'a VmName,
    incarnation: u64,
    terms: LeaseTerms,
}

impl LeaseRequest<'_> {
    fn lease(&self, floor: WallTime, is_unconfirmed: bool) -> Lease {
        let expires_at = self.at + self.terms.duration;
        let ceiling = (expires_at + self.terms.max_skew).max(floor);
        Lease {
            holder: self.sender.clone(),
            incarnation: self.incarnation,
            expires_at,
            epoch: Epoch { floor, ceiling },
            is_unconfirmed,
        }
    }
}

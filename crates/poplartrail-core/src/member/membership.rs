//! State computed from the records of one service's member stream in the platform log.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    keys::{Home, LeaseTable},
    member::{Member, MemberRecord, MemberState},
    names::VmName,
    time::WallTime,
};

/// A member with its newest record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// Identity and addresses of the member.
    pub member: Member,
    /// Whether the member serves or drains.
    pub state: MemberState,
    /// Log's timestamp of the newest record of the member.
    pub last_seen: WallTime,
    /// Time to live: without a newer record, the member is removed this long after `last_seen`.
    pub ttl: Duration,
}

/// Members of one service and leases of its key slots.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    next_offset: u64,
    members: BTreeMap<VmName, MemberEntry>,
    leases: LeaseTable,
    log_now: WallTime,
}

impl Membership {
    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the leases of the service's key slots.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Returns the newest time that the log has stated.
    pub fn log_now(&self) -> WallTime {
        self.log_now
    }

    /// Advances the known time of the log to `now`, if that is later.
    pub fn observe_log_time(&mut self, now: WallTime) {
        self.log_now = self.log_now.max(now);
    }

    /// Skips records that the log dropped before they were applied. `oldest` and `at` are offset
    /// and timestamp of the oldest record that the log still has.
    pub fn observe_oldest(&mut self, oldest: u64, at: WallTime) {
        if oldest > self.next_offset {
            self.next_offset = oldest;
            self.leases.observe_truncation(at);
        }
    }

    /// Applies one record that the log stamped `at`, and returns whether it was new.
    pub fn apply(&mut self, offset: u64, at: WallTime, record: &MemberRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        self.observe_log_time(at);
        let member = &record.member;
        for change in &record.slot_changes {
            let home = Home { zone: member.zone.clone(), slot: change.slot };
            self.leases.apply(
                at,
                &home,
                &member.vm,
                member.incarnation,
                record.terms,
                change.lease_change,
            );
        }
        let is_outdated =
            self.members.get(&member.vm).is_some_and(|m| m.member.incarnation > member.incarnation);
        if !is_outdated {
            let entry = MemberEntry {
                member: member.clone(),
                state: record.state,
                last_seen: at,
                ttl: record.terms.duration,
            };
            self.members.insert(member.vm.clone(), entry);
        }
        true
    }

    /// Removes members without a record for longer than their time to live, and returns them.
    pub fn remove_expired(&mut self) -> Vec<Member> {
        let now = self.log_now;
        let mut removed = Vec::new();
        self.members.retain(|_, entry| {
            let is_alive = now.since(entry.last_seen) <= entry.ttl;
            if !is_alive {
                removed.push(entry.member.clone());
            }
            is_alive
        });
        removed
    }

    /// Returns the members, ordered by VM name.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether there is no member.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

//! The fold of one service's stream.

use std::{collections::BTreeMap, time::Duration};

use crate::{
    keys::{Home, LeaseTable},
    member::{Member, MemberRecord, MemberState},
    names::VmName,
    time::WallTime,
};

/// A member with its last sign of life.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberEntry {
    /// The member.
    pub member: Member,
    /// Whether it serves.
    pub state: MemberState,
    /// The log's timestamp of its last record.
    pub heard_at: WallTime,
    /// Time after its last record at which it is taken for gone.
    pub ttl: Duration,
}

/// Members and leases of one service.
#[derive(Debug, Clone, Default)]
pub struct Membership {
    next_offset: u64,
    members: BTreeMap<VmName, MemberEntry>,
    leases: LeaseTable,
    log_now: WallTime,
}

impl Membership {
    /// Offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Leases of the service's slots.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// The newest time that the log has stated.
    pub fn log_now(&self) -> WallTime {
        self.log_now
    }

    /// Notes the log's own time.
    pub fn observe_log_time(&mut self, now: WallTime) {
        self.log_now = self.log_now.max(now);
    }

    /// States the oldest record that the log still has.
    pub fn observe_oldest(&mut self, oldest: u64, at: WallTime) {
        if oldest > self.next_offset {
            self.next_offset = oldest;
            self.leases.observe_truncation(at);
        }
    }

    /// Folds one record that the log stamped `at`. Returns whether it was new.
    pub fn apply(&mut self, offset: u64, at: WallTime, record: &MemberRecord) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        self.observe_log_time(at);
        let member = &record.member;
        for change in &record.slots {
            let home = Home { zone: member.zone.clone(), slot: change.slot };
            self.leases.apply(
                at,
                &home,
                &member.vm,
                member.incarnation,
                record.terms,
                change.change,
            );
        }
        let is_older =
            self.members.get(&member.vm).is_some_and(|m| m.member.incarnation > member.incarnation);
        if !is_older {
            let entry = MemberEntry {
                member: member.clone(),
                state: record.state,
                heard_at: at,
                ttl: record.terms.duration,
            };
            self.members.insert(member.vm.clone(), entry);
        }
        true
    }

    /// Forgets members that have been still for longer than their term, and returns them.
    pub fn remove_expired(&mut self) -> Vec<Member> {
        let now = self.log_now;
        let mut gone = Vec::new();
        self.members.retain(|_, entry| {
            let is_alive = now.since(entry.heard_at) <= entry.ttl;
            if !is_alive {
                gone.push(entry.member.clone());
            }
            is_alive
        });
        gone
    }

    /// Members in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &MemberEntry> {
        self.members.values()
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }
}

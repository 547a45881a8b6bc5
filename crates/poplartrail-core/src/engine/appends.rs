//! Records that a node appends to the platform log: heartbeats, lease changes and the
//! configuration.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use crate::{
    engine::{ClusterState, Output},
    keys::{Home, KeySlot, LeaseChange, LeaseTerms},
    member::{MemberEntry, MemberRecord, MemberState, Membership, SlotChange},
    policy::Policy,
    time::{Time, WallTime},
};

/// Minimum number of heartbeats that a node appends in each lease term.
const HEARTBEATS_PER_LEASE: u32 = 3;
/// Average time between two checks for key slots to claim or release.
const CLAIM_INTERVAL: Duration = Duration::from_secs(2);
/// Time over which nodes spread their repeated appends of the configuration.
const REAPPEND_SPREAD: Duration = Duration::from_secs(60);

impl ClusterState {
    /// Returns the earliest time at which [`ClusterState::wake`] has something to do.
    pub(crate) fn next_wake(&self) -> Time {
        let append = self.next_heartbeat_at.unwrap_or(Time::ZERO);
        append.min(self.next_claim_at.max(Time::from_nanos(1)))
    }

    /// Appends the records that are due: a heartbeat that renews the leases, a claim or release of
    /// key slots, the configuration.
    ///
    /// No key minted after `last_accepted` has been accepted.
    pub(crate) fn wake(
        &mut self,
        now: Time,
        policy: &Arc<Policy>,
        last_accepted: WallTime,
        out: &mut Vec<Output>,
    ) {
        if self.is_draining {
            return;
        }
        if self.next_heartbeat_at.is_none_or(|at| now >= at) {
            self.append_heartbeat(now, policy, out);
        }
        if now >= self.next_claim_at {
            self.next_claim_at = now + CLAIM_INTERVAL.mul_f64(self.rng.random_range(0.75..1.25));
            self.rebalance_key_slots(now, policy, last_accepted, out);
            self.reappend_config(now, out);
        }
    }

    fn append_heartbeat(&mut self, now: Time, policy: &Policy, out: &mut Vec<Output>) {
        let interval = policy.bounds.lease / HEARTBEATS_PER_LEASE;
        self.next_heartbeat_at = Some(now + interval.mul_f64(self.rng.random_range(0.8..1.0)));
        let slot_changes: Vec<SlotChange> = self
            .held_slots()
            .filter(|slot| !self.releasing.contains(slot))
            .map(|slot| SlotChange { slot, lease_change: LeaseChange::Renew })
            .collect();
        out.push(Output::AppendMember(self.member_record(
            now,
            policy,
            MemberState::Serving,
            slot_changes,
        )));
    }

    fn member_record(
        &self,
        now: Time,
        policy: &Policy,
        state: MemberState,
        slot_changes: Vec<SlotChange>,
    ) -> MemberRecord {
        let terms =
            LeaseTerms { duration: policy.bounds.lease, max_skew: policy.bounds.clock_skew };
        MemberRecord {
            member: self.local_member.clone(),
            state,
            terms,
            sent_at: now,
            slot_changes,
            upstream: None,
        }
    }

    /// Claims free key slots up to this node's equal part of them, or releases one beyond it.
    fn rebalance_key_slots(
        &mut self,
        now: Time,
        policy: &Policy,
        last_accepted: WallTime,
        out: &mut Vec<Output>,
    ) {
        let Some(rule) = policy.service(&self.local_member.service) else { return };
        let Some(membership) = self.memberships.get(&self.local_member.service) else { return };
        if !policy.zones.contains(&self.local_member.zone)
            || membership.log_now() == WallTime::default()
        {
            return;
        }
        let quota = usize::from(rule.key_slots).div_ceil(self.serving_members_in_zone(membership));
        let held_slots: Vec<KeySlot> = self.held_slots().collect();
        let slot_changes = if held_slots.len() < quota {
            let free = self.free_slots(membership, rule.key_slots);
            self.claims(free, quota - held_slots.len())
        } else if held_slots.len() > quota && self.releasing.is_empty() {
            let slot = held_slots[self.rng.random_range(0..held_slots.len())];
            self.releasing.insert(slot);
            vec![SlotChange { slot, lease_change: LeaseChange::Release { last_accepted } }]
        } else {
            Vec::new()
        };
        if !slot_changes.is_empty() {
            out.push(Output::AppendMember(self.member_record(
                now,
                policy,
                MemberState::Serving,
                slot_changes,
            )));
        }
    }

    /// Number of serving nodes of the local service in the local zone, this one included; at least
    /// 1.
    fn serving_members_in_zone(&self, membership: &Membership) -> usize {
        let is_neighbour = |e: &&MemberEntry| {
            e.member.zone == self.local_member.zone && e.state == MemberState::Serving
        };
        membership.iter().filter(is_neighbour).count().max(1)
    }

    /// Returns the free key slots: those that this node held last, then the others.
    fn free_slots(&self, membership: &Membership, slots: u16) -> (Vec<KeySlot>, Vec<KeySlot>) {
        let home = |slot| Home { zone: self.local_member.zone.clone(), slot };
        let leases = membership.leases();
        let is_free = |slot: &KeySlot| leases.is_free(&home(*slot), membership.log_now());
        let was_held_here = |slot: &KeySlot| {
            leases.get(&home(*slot)).is_some_and(|l| l.holder == self.local_member.vm)
        };
        (0..slots).map(KeySlot).filter(is_free).partition(was_held_here)
    }

    /// Claims at most `wanted` of the free key slots.
    ///
    /// After a long outage of the log all leases have expired. Nodes that first claim the slots
    /// they held before do not compete for the same ones.
    fn claims(&mut self, free: (Vec<KeySlot>, Vec<KeySlot>), wanted: usize) -> Vec<SlotChange> {
        let (held_before, others) = free;
        let start = self.rng.random_range(0..others.len().max(1));
        let others = others.iter().cycle().skip(start).take(others.len());
        held_before
            .iter()
            .chain(others)
            .take(wanted)
            .map(|&slot| SlotChange { slot, lease_change: LeaseChange::Claim })
            .collect()
    }

    /// Appends the configuration again before its records in the log expire.
    fn reappend_config(&mut self, now: Time, out: &mut Vec<Output>) {
        let log_now = self
            .memberships
            .get(&self.local_member.service)
            .map_or(WallTime::default(), Membership::log_now);
        if log_now == WallTime::default()
            || !self.config_state.needs_snapshot(log_now, self.retention)
        {
            self.reappend_at = None;
            return;
        }
        let spread = REAPPEND_SPREAD.min(self.retention / 8);
        match self.reappend_at {
            None => {
                self.reappend_at = Some(now + spread.mul_f64(self.rng.random()));
            }
            Some(at) if now >= at => {
                self.reappend_at = Some(now + spread);
                out.extend(self.config_state.snapshot().map(Output::AppendSnapshot));
            }
            Some(_) => {}
        }
    }

    /// Announces that the node is draining; it keeps its key slots until
    /// [`ClusterState::release_key_slots`].
    pub(crate) fn announce_draining(&mut self, now: Time, policy: &Policy, out: &mut Vec<Output>) {
        self.is_draining = true;
        let record = self.member_record(now, policy, MemberState::Draining, Vec::new());
        out.push(Output::AppendMember(record));
    }

    /// Releases all key slots. No key minted after `last_accepted` has been accepted.
    pub(crate) fn release_key_slots(
        &mut self,
        policy: &Policy,
        last_accepted: WallTime,
        out: &mut Vec<Output>,
    ) {
        let slot_changes: Vec<SlotChange> = self
            .held_slots()
            .map(|slot| SlotChange { slot, lease_change: LeaseChange::Release { last_accepted } })
            .collect();
        if !slot_changes.is_empty() {
            let now = Time::ZERO;
            out.push(Output::AppendMember(self.member_record(
                now,
                policy,
                MemberState::Draining,
                slot_changes,
            )));
        }
    }
}

//! State folded from the platform log, and what the node appends to it.

use std::{
    collections::{BTreeMap, HashSet},
    time::Duration,
};

use rand::{SeedableRng, rngs::SmallRng};

use crate::{
    config::{ChangeId, ConfigState, DocumentCheck, Verdict},
    engine::LogRecord,
    keys::{Epoch, Home, IdempotencyKey, KeySlot, LeaseChange, LeaseTerms},
    member::{Member, MemberRecord, MemberState, Membership, SlotChange},
    names::{ServiceName, VmName},
    policy::Policy,
    route::InstanceState,
    time::{Time, WallTime},
};

/// Least time between two questions for a newer configuration.
const ASK_PAUSE: Duration = Duration::from_millis(500);

/// A slot that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnHome {
    /// Mint times that it accepts.
    pub(crate) epoch: Epoch,
    /// Whether the lease has certainly not run out.
    pub(crate) is_live: bool,
}

/// What the platform log and other nodes have told this node.
#[derive(Debug)]
pub struct ClusterState {
    pub(super) me: Member,
    pub(super) history: ConfigState,
    pub(super) rosters: BTreeMap<ServiceName, Membership>,
    pub(super) releasing: HashSet<KeySlot>,
    lease_live_until: Time,
    pub(super) append_at: Option<Time>,
    pub(super) claim_at: Time,
    asked_at: Option<Time>,
    pub(super) carry_at: Option<Time>,
    pub(super) retention: Duration,
    pub(super) random: SmallRng,
    pub(super) is_leaving: bool,
    peer_members: BTreeMap<VmName, MemberRecord>,
    /// Version of the site's configuration, if the node is ruled by one.
    site_version: u64,
}

impl ClusterState {
    /// A state that has read nothing; `retention` is the time for which the log keeps records.
    pub fn new(me: Member, retention: Duration, seed: u64) -> Self {
        let mut rosters = BTreeMap::new();
        rosters.insert(me.service.clone(), Membership::default());
        Self {
            me,
            history: ConfigState::new(),
            rosters,
            releasing: HashSet::new(),
            lease_live_until: Time::ZERO,
            append_at: None,
            claim_at: Time::ZERO,
            asked_at: None,
            carry_at: None,
            retention,
            random: SmallRng::seed_from_u64(seed),
            is_leaving: false,
            peer_members: BTreeMap::new(),
            site_version: 0,
        }
    }

    /// Number of accepted changes of the configuration.
    pub fn config_version(&self) -> u64 {
        self.history.version().max(self.site_version)
    }

    /// Notes the version of the site's configuration that is in force.
    pub(crate) fn note_version(&mut self, version: u64) {
        self.site_version = version;
    }

    /// The configuration and its verdicts.
    pub fn history(&self) -> &ConfigState {
        &self.history
    }

    /// The members and leases of `service`, if its stream is subscribed to.
    pub fn roster(&self, service: &ServiceName) -> Option<&Membership> {
        self.rosters.get(service)
    }

    /// What became of the change `id`.
    pub fn verdict(&self, id: ChangeId) -> Option<&Verdict> {
        self.history.verdict(id)
    }

    /// Services whose streams are subscribed to.
    pub fn subscribed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.rosters.keys()
    }

    /// Follows the streams of all `services`.
    pub fn subscribe(&mut self, services: impl IntoIterator<Item = ServiceName>) {
        for service in services {
            self.rosters.entry(service).or_default();
        }
    }

    /// Whether a node that has configuration `theirs` should be asked for it now.
    pub(crate) fn wants_config(&self, now: Time, theirs: u64) -> bool {
        let is_due = self.asked_at.is_none_or(|at| now.since(at) >= ASK_PAUSE);
        theirs > self.config_version() && is_due
    }

    /// Notes that another node was asked for its configuration.
    pub(crate) fn note_asked(&mut self, now: Time) {
        self.asked_at = Some(now);
    }

    /// The last known holder of a key's home.
    ///
    /// The log decides who holds a slot. What another node said counts only for a slot whose
    /// lease has ended as far as the log was read; the node that is asked judges for itself.
    pub(crate) fn holder(
        &self,
        service: &ServiceName,
        key: IdempotencyKey,
        policy: &Policy,
    ) -> Option<&VmName> {
        let home = Home::of_key(key, service, policy)?;
        let roster = self.rosters.get(service)?;
        let lease = roster.leases().get(&home);
        if let Some(lease) = lease
            && lease.expires_at > roster.log_now()
        {
            return Some(&lease.holder);
        }
        self.told_holder(service, &home).or(lease.map(|lease| &lease.holder))
    }

    /// The holder of `home` by what other nodes said.
    fn told_holder(&self, service: &ServiceName, home: &Home) -> Option<&VmName> {
        let holds = |record: &&MemberRecord| {
            record.member.service == *service
                && record.member.zone == home.zone
                && record.slots.iter().any(|held| held.slot == home.slot)
        };
        self.peer_members.values().find(holds).map(|record| &record.member.vm)
    }

    /// The key's home, if this start of this node was the last to hold it.
    pub(crate) fn own_home(
        &self,
        now: Time,
        key: IdempotencyKey,
        policy: &Policy,
    ) -> Option<OwnHome> {
        let home = Home::of_key(key, &self.me.service, policy)?;
        let roster = self.rosters.get(&self.me.service)?;
        let lease = roster.leases().get(&home)?;
        let is_own = lease.holder == self.me.vm && lease.incarnation == self.me.incarnation;
        if !is_own || self.releasing.contains(&home.slot) {
            return None;
        }
        // A slot that was given up may have a holder already whose claim has not been read yet.
        let is_live = now < self.lease_live_until && lease.expires_at > roster.log_now();
        Some(OwnHome { epoch: lease.epoch, is_live })
    }

    /// Whether this node holds `home` and accepts keys minted at `minted`.
    pub fn accepts(&self, home: &Home, minted: WallTime) -> bool {
        let lease = self.rosters.get(&self.me.service).and_then(|r| r.leases().get(home));
        lease.is_some_and(|lease| {
            lease.holder == self.me.vm
                && lease.incarnation == self.me.incarnation
                && !self.releasing.contains(&home.slot)
                && minted > lease.epoch.floor
                && minted <= lease.epoch.ceiling
        })
    }

    /// Number of slots that this node holds.
    pub fn slots_held(&self) -> usize {
        self.held().count()
    }

    /// Slots that this start of the node holds, as far as the log was read.
    pub(super) fn held(&self) -> impl Iterator<Item = KeySlot> {
        self.rosters.get(&self.me.service).into_iter().flat_map(|roster| {
            roster
                .leases()
                .held_by(&self.me.vm, self.me.incarnation, roster.log_now())
                .map(|(home, _)| home.slot)
        })
    }

    /// Folds what was read of the configuration stream. Returns whether the documents changed.
    pub fn read_config(
        &mut self,
        oldest: u64,
        records: &[LogRecord<crate::config::ConfigRecord>],
        check: &dyn DocumentCheck,
    ) -> bool {
        let before = self.history.version();
        self.history.observe_oldest(oldest);
        for record in records {
            self.history.apply(record.offset, record.at, &record.body, check);
        }
        self.history.version() > before
    }

    /// Takes over another node's configuration if it is ahead. Returns whether documents changed.
    pub fn adopt_config(
        &mut self,
        snapshot: &crate::config::Snapshot,
        check: &dyn DocumentCheck,
    ) -> bool {
        self.asked_at = None;
        self.history.install_snapshot(snapshot, check)
    }

    /// Folds what was read of a service's stream.
    pub fn read_members(
        &mut self,
        service: &ServiceName,
        oldest: (u64, WallTime),
        records: &[LogRecord<MemberRecord>],
        log_now: WallTime,
    ) {
        let roster = self.rosters.entry(service.clone()).or_default();
        roster.observe_oldest(oldest.0, oldest.1);
        let mut live_until = self.lease_live_until;
        for record in records {
            let is_new = roster.apply(record.offset, record.at, &record.body);
            let body = &record.body;
            let is_own =
                body.member.vm == self.me.vm && body.member.incarnation == self.me.incarnation;
            if is_new && is_own && body.state == MemberState::Serving {
                live_until = live_until.max(body.sent_at + body.terms.duration);
            }
        }
        roster.observe_log_time(log_now);
        self.lease_live_until = live_until;
        let held: HashSet<KeySlot> = self.held().collect();
        self.releasing.retain(|slot| held.contains(slot));
    }

    /// Members that have been still for too long.
    pub(crate) fn take_expired(&mut self) -> Vec<Member> {
        self.rosters.values_mut().flat_map(Membership::remove_expired).collect()
    }

    /// Takes in members that another node knows, for the time in which the log cannot be read.
    pub(crate) fn hear_members(&mut self, members: &[MemberRecord]) {
        for record in members {
            self.peer_members.insert(record.member.vm.clone(), record.clone());
        }
    }

    /// All members that are known, from the log and from other nodes, with the slots they hold.
    pub fn members(&self) -> Vec<MemberRecord> {
        let mut found = self.peer_members.clone();
        for roster in self.rosters.values() {
            for entry in roster.iter() {
                let terms = LeaseTerms { duration: entry.ttl, max_skew: Duration::ZERO };
                let member = entry.member.clone();
                let (vm, incarnation) = (&member.vm, member.incarnation);
                let held = roster.leases().held_by(vm, incarnation, roster.log_now());
                let slots = held
                    .map(|(home, _)| SlotChange { slot: home.slot, change: LeaseChange::Renew })
                    .collect();
                let (state, sent_at) = (entry.state, Time::ZERO);
                let record = MemberRecord { member: member.clone(), state, terms, sent_at, slots };
                found.insert(member.vm, record);
            }
        }
        found.into_values().collect()
    }

    /// Instances of `service` that the log announces, with their standing.
    pub(crate) fn announced(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&Member, InstanceState)> {
        self.rosters.get(service).into_iter().flat_map(Membership::iter).map(|entry| {
            let standing = match entry.state {
                MemberState::Serving => InstanceState::Serving,
                MemberState::Draining => InstanceState::Draining,
            };
            (&entry.member, standing)
        })
    }
}

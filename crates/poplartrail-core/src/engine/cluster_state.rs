//! State of the cluster as read from the platform log and received from other nodes.

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

/// Minimum time between two requests for a newer configuration.
const ASK_CONFIG_INTERVAL: Duration = Duration::from_millis(500);

/// A key home that this node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct LocalHome {
    /// Range of mint times that the home accepts.
    pub(crate) epoch: Epoch,
    /// Whether the lease is certain not to have expired.
    pub(crate) is_lease_valid: bool,
}

/// Configuration, members and key leases, as read from the platform log and received from other nodes.
#[derive(Debug)]
pub struct ClusterState {
    pub(super) local_member: Member,
    pub(super) config_state: ConfigState,
    pub(super) memberships: BTreeMap<ServiceName, Membership>,
    /// Key slots whose release has been appended, but not yet been read from the log.
    pub(super) releasing: HashSet<KeySlot>,
    /// Time until which the leases are certain not to have expired, counted from the time at which
    /// the renewal was sent.
    lease_valid_until: Time,
    pub(super) next_heartbeat_at: Option<Time>,
    pub(super) next_claim_at: Time,
    config_asked_at: Option<Time>,
    /// Time at which this node appends a snapshot of the configuration; `None` while the log does
    /// not need one.
    pub(super) reappend_at: Option<Time>,
    pub(super) retention: Duration,
    pub(super) rng: SmallRng,
    pub(super) is_draining: bool,
    /// Latest record of each member that other nodes have sent.
    peer_members: BTreeMap<VmName, MemberRecord>,
    /// Version of the site's configuration in force; 0 if the node is not hosted.
    site_version: u64,
}

impl ClusterState {
    /// Creates an empty state; `retention` is the time for which the log keeps records.
    pub fn new(local_member: Member, retention: Duration, seed: u64) -> Self {
        let mut memberships = BTreeMap::new();
        memberships.insert(local_member.service.clone(), Membership::default());
        Self {
            local_member,
            config_state: ConfigState::new(),
            memberships,
            releasing: HashSet::new(),
            lease_valid_until: Time::ZERO,
            next_heartbeat_at: None,
            next_claim_at: Time::ZERO,
            config_asked_at: None,
            reappend_at: None,
            retention,
            rng: SmallRng::seed_from_u64(seed),
            is_draining: false,
            peer_members: BTreeMap::new(),
            site_version: 0,
        }
    }

    /// Version of the configuration: the number of accepted changes, or the site's version.
    pub fn config_version(&self) -> u64 {
        self.config_state.version().max(self.site_version)
    }

    /// Sets the version of the site's configuration that is in force.
    pub(crate) fn set_site_version(&mut self, version: u64) {
        self.site_version = version;
    }

    /// The configuration with the verdicts on all changes read so far.
    pub fn config_state(&self) -> &ConfigState {
        &self.config_state
    }

    /// Members and leases of `service`; `None` if the node does not subscribe to its stream.
    pub fn membership(&self, service: &ServiceName) -> Option<&Membership> {
        self.memberships.get(service)
    }

    /// Verdict on the change `id`; `None` if the change has not been read.
    pub fn verdict(&self, id: ChangeId) -> Option<&Verdict> {
        self.config_state.verdict(id)
    }

    /// Services whose streams the node subscribes to, its own included.
    pub fn subscribed_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.memberships.keys()
    }

    /// Adds `services` to those whose member streams the node reads, each without members until its
    /// first record is applied.
    pub fn subscribe(&mut self, services: impl IntoIterator<Item = ServiceName>) {
        for service in services {
            self.memberships.entry(service).or_default();
        }
    }

    /// Whether to ask another node for its configuration now, given that it has version
    /// `peer_version`.
    pub(crate) fn should_ask_config(&self, now: Time, peer_version: u64) -> bool {
        let is_due = self.config_asked_at.is_none_or(|at| now.since(at) >= ASK_CONFIG_INTERVAL);
        peer_version > self.config_version() && is_due
    }

    /// Records that another node was asked for its configuration.
    pub(crate) fn record_config_asked(&mut self, now: Time) {
        self.config_asked_at = Some(now);
    }

    /// Returns the last known holder of a key's home.
    ///
    /// The log decides who holds a key slot. What other nodes report counts only for a slot without
    /// an unexpired lease in the log as read so far; the node that receives the call checks its own
    /// lease.
    pub(crate) fn key_holder(
        &self,
        service: &ServiceName,
        key: IdempotencyKey,
        policy: &Policy,
    ) -> Option<&VmName> {
        let home = Home::of_key(key, service, policy)?;
        let membership = self.memberships.get(service)?;
        let lease = membership.leases().get(&home);
        if let Some(lease) = lease
            && lease.expires_at > membership.log_now()
        {
            return Some(&lease.holder);
        }
        self.holder_from_peers(service, &home).or(lease.map(|lease| &lease.holder))
    }

    /// Returns the holder of `home` as other nodes report it.
    fn holder_from_peers(&self, service: &ServiceName, home: &Home) -> Option<&VmName> {
        let holds = |record: &&MemberRecord| {
            record.member.service == *service
                && record.member.zone == home.zone
                && record.slot_changes.iter().any(|held| held.slot == home.slot)
        };
        self.peer_members.values().find(holds).map(|record| &record.member.vm)
    }

    /// Returns the key's home if this incarnation of the node was the last to hold it.
    pub(crate) fn local_home(
        &self,
        now: Time,
        key: IdempotencyKey,
        policy: &Policy,
    ) -> Option<LocalHome> {
        let home = Home::of_key(key, &self.local_member.service, policy)?;
        let membership = self.memberships.get(&self.local_member.service)?;
        let lease = membership.leases().get(&home)?;
        let is_local = lease.holder == self.local_member.vm
            && lease.incarnation == self.local_member.incarnation;
        if !is_local || self.releasing.contains(&home.slot) {
            return None;
        }
        // A slot whose lease has expired may already belong to another node, whose claim has not
        // been read yet.
        let is_lease_valid =
            now < self.lease_valid_until && lease.expires_at > membership.log_now();
        Some(LocalHome { epoch: lease.epoch, is_lease_valid })
    }

    /// Whether this incarnation was the last to hold `home`, is not releasing it, and its epoch
    /// covers `minted`. Does not check whether the lease has expired.
    pub fn accepts(&self, home: &Home, minted: WallTime) -> bool {
        let lease =
            self.memberships.get(&self.local_member.service).and_then(|r| r.leases().get(home));
        lease.is_some_and(|lease| {
            lease.holder == self.local_member.vm
                && lease.incarnation == self.local_member.incarnation
                && !self.releasing.contains(&home.slot)
                && minted > lease.epoch.floor
                && minted <= lease.epoch.ceiling
        })
    }

    /// Number of key slots that this node holds.
    pub fn key_slots_held(&self) -> usize {
        self.held_slots().count()
    }

    /// Key slots that this incarnation of the node holds, as of the last record read.
    pub(super) fn held_slots(&self) -> impl Iterator<Item = KeySlot> {
        self.memberships.get(&self.local_member.service).into_iter().flat_map(|membership| {
            membership
                .leases()
                .held_by(&self.local_member.vm, self.local_member.incarnation, membership.log_now())
                .map(|(home, _)| home.slot)
        })
    }

    /// Applies records of the configuration stream. Returns whether a document changed.
    pub fn apply_config_records(
        &mut self,
        oldest: u64,
        records: &[LogRecord<crate::config::ConfigRecord>],
        check: &dyn DocumentCheck,
    ) -> bool {
        let before = self.config_state.version();
        self.config_state.observe_oldest(oldest);
        for record in records {
            self.config_state.apply(record.offset, record.at, &record.body, check);
        }
        self.config_state.version() > before
    }

    /// Installs another node's configuration if it is newer. Returns whether a document changed.
    pub fn install_config(
        &mut self,
        snapshot: &crate::config::Snapshot,
        check: &dyn DocumentCheck,
    ) -> bool {
        self.config_asked_at = None;
        self.config_state.install_snapshot(snapshot, check)
    }

    /// Applies records of the member stream of `service`.
    pub fn apply_member_records(
        &mut self,
        service: &ServiceName,
        oldest: (u64, WallTime),
        records: &[LogRecord<MemberRecord>],
        log_now: WallTime,
    ) {
        let membership = self.memberships.entry(service.clone()).or_default();
        membership.observe_oldest(oldest.0, oldest.1);
        let mut valid_until = self.lease_valid_until;
        for record in records {
            let is_new = membership.apply(record.offset, record.at, &record.body);
            let body = &record.body;
            let is_local = body.member.vm == self.local_member.vm
                && body.member.incarnation == self.local_member.incarnation;
            if is_new && is_local && body.state == MemberState::Serving {
                valid_until = valid_until.max(body.sent_at + body.terms.duration);
            }
        }
        membership.observe_log_time(log_now);
        self.lease_valid_until = valid_until;
        let held_slots: HashSet<KeySlot> = self.held_slots().collect();
        self.releasing.retain(|slot| held_slots.contains(slot));
    }

    /// Removes and returns the members whose heartbeats have stopped for too long.
    pub(crate) fn remove_expired(&mut self) -> Vec<Member> {
        self.memberships.values_mut().flat_map(Membership::remove_expired).collect()
    }

    /// Records the members that another node knows. The log takes precedence over them, so they
    /// matter mostly while it cannot be read.
    pub(crate) fn record_peer_members(&mut self, members: &[MemberRecord]) {
        for record in members {
            self.peer_members.insert(record.member.vm.clone(), record.clone());
        }
    }

    /// Returns all members known from the log and from other nodes, with the key slots they hold.
    pub fn members(&self) -> Vec<MemberRecord> {
        let mut found = self.peer_members.clone();
        for membership in self.memberships.values() {
            for entry in membership.iter() {
                let terms = LeaseTerms { duration: entry.ttl, max_skew: Duration::ZERO };
                let member = entry.member.clone();
                let (vm, incarnation) = (&member.vm, member.incarnation);
                let held_slots = membership.leases().held_by(vm, incarnation, membership.log_now());
                let slot_changes = held_slots
                    .map(|(home, _)| SlotChange {
                        slot: home.slot,
                        lease_change: LeaseChange::Renew,
                    })
                    .collect();
                let (state, sent_at) = (entry.state, Time::ZERO);
                let record = MemberRecord {
                    member: member.clone(),
                    state,
                    terms,
                    sent_at,
                    slot_changes,
                    upstream: None,
                };
                found.insert(member.vm, record);
            }
        }
        found.into_values().collect()
    }

    /// Returns the members of `service` that the log announces, with their state as instances.
    pub(crate) fn announced_members(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (&Member, InstanceState)> {
        self.memberships.get(service).into_iter().flat_map(Membership::iter).map(|entry| {
            let instance_state = match entry.state {
                MemberState::Serving => InstanceState::Serving,
                MemberState::Draining => InstanceState::Draining,
            };
            (&entry.member, instance_state)
        })
    }
}

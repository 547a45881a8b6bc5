//! Load balancing over the instances of each service.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slotmap::SlotMap;

use crate::{
    call::{Share, ShedPosition},
    names::{ServiceName, VmName, ZoneName},
    policy::RankIndex,
    route::{GateReport, Instance, InstanceKey, InstanceState},
    time::Time,
};

/// Factor on the cost of an instance in another availability zone.
const OTHER_ZONE_COST_FACTOR: f64 = 1.25;
/// Without zone affinity, calls stay in the local zone if at least this many instances there admit
/// the call.
const MIN_LOCAL_INSTANCES: usize = 3;

/// Load of an instance with all permits in use, in parts of 1 024 of its limit.
const FULL_LOAD: f64 = 1024.0;
/// Load below which an instance takes calls of other availability zones, in parts of 1 024 of its
/// limit; the remaining quarter is kept for its own zone.
const MAX_LOAD_WITH_ROOM: f64 = 0.75 * FULL_LOAD;

/// Result of choosing an instance for a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceChoice {
    /// The call is to be sent to this instance.
    Send(InstanceKey),
    /// No available instance admits the call; holds the largest share that one of them admits.
    Shed(Share),
    /// No instance meets the conditions of the choice; for example, none is available.
    NoInstance,
}

/// Known instances of every service, and the choice among them.
#[derive(Debug)]
pub struct Router {
    zone: ZoneName,
    instances: SlotMap<InstanceKey, Instance>,
    by_service: HashMap<ServiceName, Vec<InstanceKey>>,
    by_vm: HashMap<VmName, InstanceKey>,
    uses_shares: bool,
    local_instance: Option<InstanceKey>,
    has_zone_affinity: bool,
    has_probes: bool,
}

impl Router {
    /// Creates a router without instances for a node in `zone`.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            instances: SlotMap::with_key(),
            by_service: HashMap::new(),
            by_vm: HashMap::new(),
            uses_shares: true,
            local_instance: None,
            has_zone_affinity: false,
            has_probes: false,
        }
    }

    /// Keeps calls in the local availability zone while an instance there has a permit left, and
    /// probes an unreachable instance before it is chosen again.
    pub(crate) fn enable_zone_affinity_and_probes(&mut self) {
        self.has_zone_affinity = true;
        self.has_probes = true;
    }

    /// Returns this node's instance, if it was added to the routes.
    pub fn local_instance(&self) -> Option<InstanceKey> {
        self.local_instance
    }

    /// Adds this node's instance to the routes, so that it is chosen like any other.
    pub(crate) fn set_local_instance(&mut self, service: &ServiceName, instance: Instance) {
        let key = self.upsert(service, instance);
        self.local_instance = Some(key);
    }

    /// Sets the load of this node's instance from its gate.
    pub(crate) fn set_local_load(&mut self, load: u16, in_flight: u32) {
        if let Some(instance) = self.local_instance.and_then(|key| self.instances.get_mut(key)) {
            instance.load = load;
            instance.outstanding = in_flight;
        }
    }

    /// Marks the instance on `vm` as reachable, because a connection to it is open.
    pub(crate) fn mark_reachable(&mut self, vm: &VmName) {
        if let Some(&key) = self.by_vm.get(vm) {
            self.instances[key].mark_reachable();
        }
    }

    /// Returns the serving instances for which a probe is due, and schedules their next probe.
    pub(crate) fn poll_due_probes(&mut self, now: Time) -> Vec<(VmName, SocketAddr)> {
        let due = self.instances.values_mut().filter_map(|instance| {
            let is_due = instance.state == InstanceState::Serving && instance.poll_due_probe(now);
            is_due.then(|| (instance.vm.clone(), instance.addr))
        });
        due.collect()
    }

    /// Sets whether the choice skips instances that do not admit a call by their reported shares.
    pub fn set_uses_shares(&mut self, uses_shares: bool) {
        self.uses_shares = uses_shares;
    }

    /// Adds an instance, or replaces the one on the same VM if the node there has restarted.
    ///
    /// The VM may have been reassigned to another service meanwhile.
    pub fn upsert(&mut self, service: &ServiceName, instance: Instance) -> InstanceKey {
        let Some(&key) = self.by_vm.get(&instance.vm) else {
            return self.insert(service, instance);
        };
        let known = &mut self.instances[key];
        if instance.incarnation > known.incarnation {
            let previous = std::mem::replace(known, instance);
            known.outstanding = previous.outstanding;
            known.inherit_terms(&previous);
            self.move_to_service(service, key);
        } else if instance.incarnation == known.incarnation
            && instance.state == InstanceState::Draining
        {
            known.state = InstanceState::Draining;
        }
        key
    }

    fn insert(&mut self, service: &ServiceName, instance: Instance) -> InstanceKey {
        let vm = instance.vm.clone();
        let key = self.instances.insert(instance);
        self.by_vm.insert(vm, key);
        self.by_service.entry(service.clone()).or_default().push(key);
        key
    }

    fn move_to_service(&mut self, service: &ServiceName, key: InstanceKey) {
        if self.by_service.get(service).is_some_and(|keys| keys.contains(&key)) {
            return;
        }
        for keys in self.by_service.values_mut() {
            keys.retain(|&k| k != key);
        }
        self.by_service.entry(service.clone()).or_default().push(key);
    }

    /// Removes the instance on `vm`. An instance with outstanding calls is not removed but marked
    /// as draining.
    pub fn remove(&mut self, vm: &VmName) {
        let Some(&key) = self.by_vm.get(vm) else { return };
        if self.instances[key].outstanding > 0 {
            self.instances[key].state = InstanceState::Draining;
            return;
        }
        self.by_vm.remove(vm);
        self.instances.remove(key);
        for keys in self.by_service.values_mut() {
            keys.retain(|&k| k != key);
        }
    }

    /// Returns the instance with `key`, if it is still known.
    pub fn get(&self, key: InstanceKey) -> Option<&Instance> {
        self.instances.get(key)
    }

    /// Returns the instance on `vm`.
    pub fn get_by_vm(&self, vm: &VmName) -> Option<(InstanceKey, &Instance)> {
        let key = *self.by_vm.get(vm)?;
        Some((key, &self.instances[key]))
    }

    /// Returns all instances of `service`, available or not.
    pub fn instances_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (InstanceKey, &Instance)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.instances[key]))
    }

    /// Returns all instances, each with its service.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Instance)> {
        self.by_service.iter().flat_map(|(service, keys)| {
            let instances = &self.instances;
            keys.iter().map(move |&k| (service, &instances[k]))
        })
    }

    /// Returns the number of known instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Returns whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Returns whether any instance of `service` is known.
    pub fn has_instances_of(&self, service: &ServiceName) -> bool {
        self.by_service.get(service).is_some_and(|keys| !keys.is_empty())
    }

    /// Returns the share of `rank` that the available instances of `service` admit together.
    ///
    /// This is their mean, as calls are spread over them, or the full share if one of them admits
    /// everything, as that one has room for more than its part.
    pub fn share(&self, now: Time, service: &ServiceName, rank: RankIndex) -> Share {
        let (mut sum, mut count, mut is_full) = (0, 0, false);
        for (_, instance) in self.instances_of(service).filter(|(_, i)| i.is_available(now)) {
            let share = instance.share(now, rank);
            is_full |= share == Share::FULL;
            sum += share.raw();
            count += 1;
        }
        if is_full || count == 0 { Share::FULL } else { Share::from_raw(sum / count) }
    }

    /// Chooses the cheaper of two random available instances other than `avoid` that admit a
    /// request at `position` in the shedding order.
    ///
    /// `random` supplies the two picks (power of two choices, Mitzenmacher, 2001).
    pub fn choose(
        &self,
        now: Time,
        service: &ServiceName,
        rank: RankIndex,
        position: ShedPosition,
        avoid: Option<InstanceKey>,
        random: u64,
    ) -> InstanceChoice {
        let available: Vec<(InstanceKey, &Instance)> = self
            .instances_of(service)
            .filter(|(key, i)| i.is_available(now) && Some(*key) != avoid)
            .collect();
        if available.is_empty() {
            return InstanceChoice::NoInstance;
        }
        let mut admitting: Vec<_> = available
            .iter()
            .filter(|(_, i)| !self.uses_shares || i.share(now, rank).with_slack().admits(position))
            .copied()
            .collect();
        if admitting.is_empty() {
            let best = available.iter().map(|(_, i)| i.share(now, rank)).max();
            return InstanceChoice::Shed(best.unwrap_or(Share::NONE));
        }
        if self.has_zone_affinity {
            self.retain_preferred(now, &mut admitting);
        } else if admitting.iter().filter(|(_, i)| i.zone == self.zone).count()
            >= MIN_LOCAL_INSTANCES
        {
            admitting.retain(|(_, i)| i.zone == self.zone);
        }
        InstanceChoice::Send(self.cheaper_of_two(&admitting, random))
    }

    /// Retains the most preferred group of instances that is not empty: those in the local zone
    /// with a permit left; those anywhere with room to spare; those in the local zone; all.
    ///
    /// When every zone is overloaded, a call waits as long in a queue of its own zone as elsewhere,
    /// and sending it across zones would only add traffic.
    fn retain_preferred(&self, now: Time, candidates: &mut Vec<(InstanceKey, &Instance)>) {
        let is_local = |i: &Instance| i.zone == self.zone;
        let has_local_permit = |i: &Instance| is_local(i) && i.load(now) < FULL_LOAD;
        let has_room = |i: &Instance| i.load(now) < MAX_LOAD_WITH_ROOM;
        if candidates.iter().any(|(_, i)| has_local_permit(i)) {
            candidates.retain(|(_, i)| has_local_permit(i));
        } else if candidates.iter().any(|(_, i)| has_room(i)) {
            candidates.retain(|(_, i)| has_room(i));
        } else if candidates.iter().any(|(_, i)| is_local(i)) {
            candidates.retain(|(_, i)| is_local(i));
        }
    }

    /// Chooses another instance for a call that the instance `full` refused for lack of capacity.
    ///
    /// Only instances with room to spare are considered, so that under overload no call goes from
    /// one full gate to the next.
    pub(crate) fn choose_with_room(
        &self,
        now: Time,
        service: &ServiceName,
        full: Option<InstanceKey>,
        random: u64,
    ) -> InstanceChoice {
        let with_room: Vec<_> = self
            .instances_of(service)
            .filter(|(key, i)| {
                Some(*key) != full && i.is_available(now) && i.load(now) < MAX_LOAD_WITH_ROOM
            })
            .collect();
        if with_room.is_empty() {
            return InstanceChoice::NoInstance;
        }
        InstanceChoice::Send(self.cheaper_of_two(&with_room, random))
    }

    fn cheaper_of_two(&self, candidates: &[(InstanceKey, &Instance)], random: u64) -> InstanceKey {
        let len = candidates.len() as u64;
        let first = (random & 0xffff_ffff) % len;
        let second = match len {
            1 => first,
            _ => (first + 1 + (random >> 32) % (len - 1)) % len,
        };
        let (a, b) = (candidates[first as usize], candidates[second as usize]);
        let cost = |i: &Instance| {
            i.cost() * if i.zone == self.zone { 1.0 } else { OTHER_ZONE_COST_FACTOR }
        };
        if cost(b.1) < cost(a.1) { b.0 } else { a.0 }
    }

    /// Records that a call was sent to an instance.
    pub fn record_sent(&mut self, now: Time, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding += 1;
            instance.answer_watchdog.record_sent(now);
        }
    }

    /// Records a reply of an instance to a call of `rank`, whatever its outcome, and applies its
    /// load report.
    pub fn record_answer(
        &mut self,
        now: Time,
        key: InstanceKey,
        rank: RankIndex,
        latency: Duration,
        config_version: u64,
        report: &GateReport,
    ) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding = instance.outstanding.saturating_sub(1);
            instance.answer_watchdog.record_answer(now, latency);
            instance.apply_report(now, rank, config_version, report);
        }
    }

    /// Records that the upstream of an instance has answered without naming a limit.
    pub(crate) fn clear_limit(&mut self, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.clear_limit();
        }
    }

    /// Records that a call ended without an answer; `is_failure` counts it as a failure of the
    /// instance, which then gets no calls for a backoff time.
    pub fn record_lost(&mut self, now: Time, key: InstanceKey, is_failure: bool) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding = instance.outstanding.saturating_sub(1);
            instance.answer_watchdog.record_lost();
            if is_failure {
                instance.record_failure(now);
                if self.has_probes {
                    instance.mark_unreachable(now);
                }
            }
        }
    }

    /// Records that an instance cannot serve at present, and sends it no calls for a backoff time.
    pub fn record_failure(&mut self, now: Time, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.record_failure(now);
        }
    }

    /// Marks an instance as draining, so that it gets no new calls.
    pub fn mark_draining(&mut self, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.state = InstanceState::Draining;
        }
    }

    /// Returns the instances whose answer watchdog has expired, and restarts their watchdogs.
    pub fn poll_silent(&mut self, now: Time) -> Vec<InstanceKey> {
        let mut expired = Vec::new();
        for (key, instance) in &mut self.instances {
            if instance.answer_watchdog.is_expired(now) {
                instance.answer_watchdog.reset(now);
                expired.push(key);
            }
        }
        expired
    }

    /// Sets the number of ranks for which shares are kept.
    pub fn set_ranks(&mut self, now: Time, ranks: usize) {
        for instance in self.instances.values_mut() {
            instance.set_ranks(now, ranks);
        }
    }
}

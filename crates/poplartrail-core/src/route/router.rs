//! Choice among the instances of each service.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use slotmap::SlotMap;

use crate::{
    call::{Share, ShedPosition},
    names::{ServiceName, VmName, ZoneName},
    policy::RankIndex,
    route::{GateReport, Instance, InstanceKey, InstanceState},
    time::Time,
};

/// Extra cost of an instance in another availability zone.
const OTHER_ZONE_COST: f64 = 1.25;
/// Open instances in the own zone from which the others are left out.
const ENOUGH_IN_ZONE: usize = 3;

/// Load of an instance whose places are all taken, in parts of its limit.
const FULL_LOAD: f64 = 1024.0;
/// Load up to which an instance has room to spare for calls of other availability zones; the rest
/// is kept for its own.
const ROOM_LOAD: f64 = 0.75 * FULL_LOAD;

/// The result of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstanceChoice {
    /// Send the call to this instance.
    Send(InstanceKey),
    /// No instance admits the call; the largest share seen is given.
    Shed(Share),
    /// No instance is known or open.
    NoInstance,
}

/// All known instances, by service.
#[derive(Debug)]
pub struct Router {
    zone: ZoneName,
    instances: SlotMap<InstanceKey, Instance>,
    services: HashMap<ServiceName, Vec<InstanceKey>>,
    vms: HashMap<VmName, InstanceKey>,
    uses_shares: bool,
    own: Option<InstanceKey>,
    keeps_zone: bool,
    probes: bool,
}

impl Router {
    /// A router of a node in `zone` that knows no instance.
    pub fn new(zone: ZoneName) -> Self {
        Self {
            zone,
            instances: SlotMap::with_key(),
            services: HashMap::new(),
            vms: HashMap::new(),
            uses_shares: true,
            own: None,
            keeps_zone: false,
            probes: false,
        }
    }

    /// Keeps calls in the own availability zone while an instance there has a place, and tries a
    /// connection before an instance that was out of reach is chosen again.
    pub(crate) fn enable_zone_affinity_and_probes(&mut self) {
        self.keeps_zone = true;
        self.probes = true;
    }

    /// The own instance, if it is among the routes.
    pub fn local_instance(&self) -> Option<InstanceKey> {
        self.own
    }

    /// Adds the own instance to the routes, so that it is chosen like any other.
    pub(crate) fn set_local_instance(&mut self, service: &ServiceName, instance: Instance) {
        let key = self.upsert(service, instance);
        self.own = Some(key);
    }

    /// Notes the state of the own gate.
    pub(crate) fn set_local_load(&mut self, load: u16, in_flight: u32) {
        if let Some(own) = self.own.and_then(|own| self.instances.get_mut(own)) {
            own.load = load;
            own.outstanding = in_flight;
        }
    }

    /// Notes that a connection to `vm` is open.
    pub(crate) fn mark_reachable(&mut self, vm: &VmName) {
        if let Some(&key) = self.vms.get(vm) {
            self.instances[key].mark_reachable();
        }
    }

    /// Instances to which a connection is to be tried now.
    pub(crate) fn poll_due_probes(&mut self, now: Time) -> Vec<(VmName, SocketAddr)> {
        let due = self.instances.values_mut().filter_map(|instance| {
            let is_due = instance.state == InstanceState::Serving && instance.is_probe_due(now);
            is_due.then(|| (instance.vm.clone(), instance.addr))
        });
        due.collect()
    }

    /// Sets whether reported shares steer the choice.
    pub fn set_uses_shares(&mut self, uses_shares: bool) {
        self.uses_shares = uses_shares;
    }

    /// Adds an instance, or replaces the one on the same VM if its node started again.
    ///
    /// A VM may have passed to another service meanwhile.
    pub fn upsert(&mut self, service: &ServiceName, instance: Instance) -> InstanceKey {
        let Some(&key) = self.vms.get(&instance.vm) else { return self.insert(service, instance) };
        let known = &mut self.instances[key];
        if instance.incarnation > known.incarnation {
            let outstanding = known.outstanding;
            *known = instance;
            known.outstanding = outstanding;
            self.move_to(service, key);
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
        self.vms.insert(vm, key);
        self.services.entry(service.clone()).or_default().push(key);
        key
    }

    fn move_to(&mut self, service: &ServiceName, key: InstanceKey) {
        if self.services.get(service).is_some_and(|keys| keys.contains(&key)) {
            return;
        }
        for keys in self.services.values_mut() {
            keys.retain(|&k| k != key);
        }
        self.services.entry(service.clone()).or_default().push(key);
    }

    /// Forgets the instance on `vm` if no call is in progress there.
    pub fn remove(&mut self, vm: &VmName) {
        let Some(&key) = self.vms.get(vm) else { return };
        if self.instances[key].outstanding > 0 {
            self.instances[key].state = InstanceState::Draining;
            return;
        }
        self.vms.remove(vm);
        self.instances.remove(key);
        for keys in self.services.values_mut() {
            keys.retain(|&k| k != key);
        }
    }

    /// The instance at `key`.
    pub fn get(&self, key: InstanceKey) -> Option<&Instance> {
        self.instances.get(key)
    }

    /// The instance on `vm`.
    pub fn get_by_vm(&self, vm: &VmName) -> Option<(InstanceKey, &Instance)> {
        let key = *self.vms.get(vm)?;
        Some((key, &self.instances[key]))
    }

    /// All instances of `service`.
    pub fn instances_of(
        &self,
        service: &ServiceName,
    ) -> impl Iterator<Item = (InstanceKey, &Instance)> {
        let keys = self.services.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().map(|&key| (key, &self.instances[key]))
    }

    /// All instances with their services.
    pub fn iter(&self) -> impl Iterator<Item = (&ServiceName, &Instance)> {
        self.services.iter().flat_map(|(service, keys)| {
            let instances = &self.instances;
            keys.iter().map(move |&k| (service, &instances[k]))
        })
    }

    /// Number of known instances.
    pub fn len(&self) -> usize {
        self.instances.len()
    }

    /// Whether no instance is known.
    pub fn is_empty(&self) -> bool {
        self.instances.is_empty()
    }

    /// Whether any instance of `service` is known.
    pub fn knows(&self, service: &ServiceName) -> bool {
        self.services.get(service).is_some_and(|keys| !keys.is_empty())
    }

    /// Share of `rank` that the open instances of `service` admit together.
    ///
    /// This is their mean, as calls are spread over them; one that admits everything has room
    /// for more than its part.
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

    /// Chooses the cheaper of two random open instances that admit `draw`, other than `avoid`.
    ///
    /// `random` supplies the two picks (power of two choices, Mitzenmacher, 2001).
    pub fn choose(
        &self,
        now: Time,
        service: &ServiceName,
        rank: RankIndex,
        draw: ShedPosition,
        avoid: Option<InstanceKey>,
        random: u64,
    ) -> InstanceChoice {
        let open: Vec<(InstanceKey, &Instance)> = self
            .instances_of(service)
            .filter(|(key, i)| i.is_available(now) && Some(*key) != avoid)
            .collect();
        if open.is_empty() {
            return InstanceChoice::NoInstance;
        }
        let mut admitting: Vec<_> = open
            .iter()
            .filter(|(_, i)| !self.uses_shares || i.share(now, rank).with_slack().admits(draw))
            .copied()
            .collect();
        if admitting.is_empty() {
            let best = open.iter().map(|(_, i)| i.share(now, rank)).max();
            return InstanceChoice::Shed(best.unwrap_or(Share::NONE));
        }
        if self.keeps_zone {
            self.keep_worthwhile(now, &mut admitting);
        } else if admitting.iter().filter(|(_, i)| i.zone == self.zone).count() >= ENOUGH_IN_ZONE {
            admitting.retain(|(_, i)| i.zone == self.zone);
        }
        InstanceChoice::Send(self.cheaper_of_two(&admitting, random))
    }

    /// Leaves those instances that are worth their way, the first that apply: with a place in the
    /// own availability zone; with room to spare elsewhere; in the own zone at all; any.
    ///
    /// When every zone is short of places, a call is as well off in its own queue, and sending it
    /// across would only add bytes.
    fn keep_worthwhile(&self, now: Time, from: &mut Vec<(InstanceKey, &Instance)>) {
        let is_near = |i: &Instance| i.zone == self.zone;
        let has_place = |i: &Instance| is_near(i) && i.load(now) < FULL_LOAD;
        let has_room = |i: &Instance| i.load(now) < ROOM_LOAD;
        if from.iter().any(|(_, i)| has_place(i)) {
            from.retain(|(_, i)| has_place(i));
        } else if from.iter().any(|(_, i)| has_room(i)) {
            from.retain(|(_, i)| has_room(i));
        } else if from.iter().any(|(_, i)| is_near(i)) {
            from.retain(|(_, i)| is_near(i));
        }
    }

    /// Chooses another instance for a call that the instance `full` had no place for: one with room
    /// to spare, so that in a flood no call goes from one full gate to the next.
    pub(crate) fn choose_with_room(
        &self,
        now: Time,
        service: &ServiceName,
        full: Option<InstanceKey>,
        random: u64,
    ) -> InstanceChoice {
        let with_room: Vec<_> = self
            .instances_of(service)
            .filter(|(key, i)| Some(*key) != full && i.is_available(now) && i.load(now) < ROOM_LOAD)
            .collect();
        if with_room.is_empty() {
            return InstanceChoice::NoInstance;
        }
        InstanceChoice::Send(self.cheaper_of_two(&with_room, random))
    }

    fn cheaper_of_two(&self, from: &[(InstanceKey, &Instance)], random: u64) -> InstanceKey {
        let len = from.len() as u64;
        let first = (random & 0xffff_ffff) % len;
        let second = match len {
            1 => first,
            _ => (first + 1 + (random >> 32) % (len - 1)) % len,
        };
        let (a, b) = (from[first as usize], from[second as usize]);
        let cost =
            |i: &Instance| i.cost() * if i.zone == self.zone { 1.0 } else { OTHER_ZONE_COST };
        if cost(b.1) < cost(a.1) { b.0 } else { a.0 }
    }

    /// Notes a call that was sent to an instance.
    pub fn record_sent(&mut self, now: Time, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding += 1;
            instance.silence.sent(now);
        }
    }

    /// Notes an answer of an instance, whatever it says.
    pub fn record_answer(
        &mut self,
        now: Time,
        key: InstanceKey,
        rank: RankIndex,
        latency: Duration,
        config: u64,
        report: &GateReport,
    ) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding = instance.outstanding.saturating_sub(1);
            instance.silence.heard(now, latency);
            instance.note_report(now, rank, config, report);
        }
    }

    /// Notes a call that ended without an answer; `is_failure` counts it against the instance.
    pub fn record_lost(&mut self, now: Time, key: InstanceKey, is_failure: bool) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.outstanding = instance.outstanding.saturating_sub(1);
            instance.silence.abandoned();
            if is_failure {
                instance.record_failure(now);
                if self.probes {
                    instance.note_unreachable(now);
                }
            }
        }
    }

    /// Notes that an instance cannot serve at present, and leaves it out for a while.
    pub fn record_failure(&mut self, now: Time, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.record_failure(now);
        }
    }

    /// Notes that an instance is leaving.
    pub fn mark_draining(&mut self, key: InstanceKey) {
        if let Some(instance) = self.instances.get_mut(key) {
            instance.state = InstanceState::Draining;
        }
    }

    /// Returns the instances whose connection has gone silent, and starts their watch again.
    pub fn poll_silent(&mut self, now: Time) -> Vec<InstanceKey> {
        let mut silent = Vec::new();
        for (key, instance) in &mut self.instances {
            if instance.silence.is_silent(now) {
                instance.silence.reset(now);
                silent.push(key);
            }
        }
        silent
    }

    /// Makes room for the shares of `ranks` ranks.
    pub fn set_ranks(&mut self, now: Time, ranks: usize) {
        for instance in self.instances.values_mut() {
            instance.set_ranks(now, ranks);
        }
    }
}

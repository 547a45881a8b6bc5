//! The state machine of a node: dispatches inputs to the calls, the cluster state and the phase.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    engine::{
        Calls, ClusterState, ConfigSource, Event, EventKind, Input, InstanceStatus, LogBatch,
        NodeOptions, NodePhase, NodeStatus, Origin, Output, Phase, PolicySource, RankStatus,
        calls::DecisionContext, config_check::ConfigCheck, restore::is_plausible,
        routing::HostedState,
    },
    keys::{Home, IdempotencyKey},
    member::{Member, MemberRecord},
    names::{ServiceName, VmName},
    policy::RankIndex,
    route::{Instance, InstanceState},
    time::{Time, WallTime},
};

/// Random keys that [`Node::mint_key`] tries until it finds one with its home on this node.
const MAX_MINT_ATTEMPTS: usize = 4096;

/// The state machine of one node: the calls in progress, the cluster state and the phase.
pub struct Node {
    pub(super) local_member: Member,
    pub(super) calls: Calls,
    pub(super) cluster: ClusterState,
    pub(super) phase: NodePhase,
    pub(super) policy_source: Box<dyn PolicySource + Send>,
    pub(super) hosted: Option<HostedState>,
    pub(super) seeds: Vec<(VmName, SocketAddr)>,
    pub(super) next_ask_seeds_at: Time,
    reported_key_slots: usize,
    is_drained: bool,
    pub(super) config_check: ConfigCheck,
}

impl Node {
    /// Creates a starting node that has read neither the log nor any configuration.
    pub fn new(options: NodeOptions) -> Self {
        let seed = options.call_options.seed;
        Self {
            calls: Calls::new(
                options.local_member.clone(),
                options.initial_policy,
                options.call_options,
            ),
            cluster: ClusterState::new(options.local_member.clone(), options.retention, seed),
            local_member: options.local_member,
            phase: NodePhase::Starting(Phase::start()),
            policy_source: options.policy_source,
            hosted: None,
            seeds: options.seeds,
            next_ask_seeds_at: Time::ZERO,
            reported_key_slots: 0,
            is_drained: false,
            config_check: ConfigCheck::default(),
        }
    }

    /// Handles one input and appends the resulting outputs to `out`.
    pub fn handle(&mut self, now: Time, wall: WallTime, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::CallArrived(arrival) => {
                if let Origin::Peer { terms: Some(terms), .. } = &arrival.origin {
                    self.adopt_terms(now, wall, terms, out);
                }
                self.with_calls(now, wall, out, |calls, cx| calls.handle_arrival(cx, arrival));
            }
            Input::RequestArrived(request) => self.route_request(now, wall, out, request),
            Input::SiteDocument(document) => {
                self.apply_site_document(now, &document, ConfigSource::Platform, out);
            }
            Input::PeerReachable(vm) => self.calls.router_mut().mark_reachable(&vm),
            Input::CallerLeft(reply_to) => {
                self.with_calls(now, wall, out, |calls, cx| calls.handle_caller_left(cx, reply_to));
            }
            Input::UpstreamDone { call, result, notice } => {
                if let Some(notice) = notice {
                    self.observe_notice(now, wall, call, notice, out);
                }
                self.with_calls(now, wall, out, |calls, cx| {
                    calls.handle_upstream_result(cx, call, result);
                });
            }
            Input::PeerDone { call, attempt, result } => {
                self.handle_peer_result(now, wall, out, call, attempt, result);
            }
            Input::UpstreamSlots { slots } => self.apply_upstream_slots(slots),
            Input::UpstreamRestarted => self.calls.restart_limiter(None),
            Input::PeerSilent(vm) => {
                self.with_calls(now, wall, out, |calls, cx| calls.replace_connection(cx, &vm));
            }
            Input::LogRead { batch, log_now } => self.apply_log_batch(now, batch, log_now, out),
            Input::PeerConfig(snapshot) => {
                if let Some(document) = &snapshot.site_document {
                    self.apply_site_document(now, document, ConfigSource::Peer, out);
                } else if self.cluster.install_config(&snapshot, self.policy_source.as_ref()) {
                    self.apply_policy(now, ConfigSource::Peer, out);
                }
            }
            Input::ConfigConfirmed(vm) => self.config_check.record_reply(&vm),
            Input::PeerDraining(vm) => {
                if let Some((key, _)) = self.calls.router().get_by_vm(&vm) {
                    self.calls.router_mut().mark_draining(key);
                }
            }
            Input::PeerMembers(members) => self.handle_peer_members(now, wall, members, out),
            Input::StoredMembers(members) => self.handle_stored_members(now, wall, members, out),
            Input::RestoredMembers(members) => {
                self.handle_restored_members(now, wall, members, out);
            }
            Input::MemberStored(record) => self.handle_member_stored(&record),
            Input::Wake => self.wake(now, wall, out),
            Input::Drain => self.drain(now, wall, out),
            Input::Close => self.close(now, wall, out),
            Input::Terminate => self.with_calls(now, wall, out, |calls, cx| calls.terminate(cx)),
        }
        self.subscribe_to_new_callees(out);
        self.finish_draining(out);
    }

    /// Returns the earliest time at which the node needs an [`Input::Wake`].
    pub fn next_wake(&self) -> Time {
        match self.phase {
            NodePhase::Serving(_) if self.hosted.is_some() => {
                self.calls.next_wake().min(self.config_check.next_at())
            }
            NodePhase::Serving(_) => self.calls.next_wake().min(self.cluster.next_wake()),
            _ => self.calls.next_wake(),
        }
    }

    /// The calls in progress, with the gate, the router and the ledger.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// Configuration, members and leases as read from the platform log and received from other nodes.
    pub fn cluster(&self) -> &ClusterState {
        &self.cluster
    }

    /// The present phase.
    pub fn phase(&self) -> &NodePhase {
        &self.phase
    }

    /// This node as a member: its address, zone, service and incarnation as other nodes see them.
    pub fn local_member(&self) -> &Member {
        &self.local_member
    }

    /// Mints an idempotency key whose home is on this node, so that it stays usable while the zone
    /// is cut off. Returns `None` if none is found, as when the node holds no key slot.
    pub fn mint_key(&mut self, wall: WallTime) -> Option<IdempotencyKey> {
        for _ in 0..MAX_MINT_ATTEMPTS {
            let random = u128::from(self.calls.random()) << 64 | u128::from(self.calls.random());
            let key = IdempotencyKey::mint(wall, random);
            let home = Home::of_key(key, &self.local_member.service, self.calls.policy())?;
            if self.cluster.accepts(&home, wall) {
                return Some(key);
            }
        }
        None
    }

    /// Starts serving with the initial policy, without waiting for a configuration.
    pub fn serve(&mut self) {
        self.phase.serve();
    }

    /// Adds an instance to the router, or updates it.
    pub fn add_instance(&mut self, now: Time, member: &Member, instance_state: InstanceState) {
        let ranks = self.calls.policy().ranks.len();
        let mut instance = Instance::new(
            now,
            member.vm.clone(),
            member.zone.clone(),
            member.addr,
            member.incarnation,
            ranks,
        );
        instance.state = instance_state;
        self.calls.router_mut().upsert(&member.service, instance);
    }

    /// Returns a summary for status pages and metrics.
    pub fn status(&mut self, now: Time) -> NodeStatus {
        let ranks = self.rank_statuses(now);
        let calls = &self.calls;
        let instances = calls.router().iter().map(|(service, instance)| InstanceStatus {
            service: service.clone(),
            vm: instance.vm.clone(),
            zone: instance.zone.clone(),
            addr: instance.addr,
            is_available: instance.is_available(now),
            outstanding: instance.outstanding,
        });
        NodeStatus {
            vm: self.local_member.vm.clone(),
            service: self.local_member.service.clone(),
            zone: self.local_member.zone.clone(),
            phase: self.phase.label(),
            config_version: self.cluster.config_version(),
            concurrency_limit: calls.gate().limit(),
            named_limit: calls.call_limit.rate(),
            in_flight: calls.gate().in_flight(),
            queued: calls.gate().queued(),
            key_slots: self.cluster.key_slots_held(),
            remembered_keys: calls.ledger().len(),
            instances: instances.collect(),
            ranks,
        }
    }

    fn rank_statuses(&mut self, now: Time) -> Vec<RankStatus> {
        let policy = self.calls.policy().clone();
        let statuses = policy.ranks.iter().enumerate().map(|(index, rank)| {
            let index = RankIndex(index as u8);
            RankStatus {
                rank: rank.name.clone(),
                share: self.calls.gate().share(index).fraction(),
                path_share: self.calls.path_share(now, index).fraction(),
            }
        });
        statuses.collect()
    }

    pub(super) fn with_calls(
        &mut self,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Calls, &mut DecisionContext<'_>),
    ) {
        let mut cx = DecisionContext { now, wall, phase: &self.phase, cluster: &self.cluster, out };
        act(&mut self.calls, &mut cx);
    }

    fn handle_peer_result(
        &mut self,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Output>,
        call: crate::engine::CallKey,
        attempt: u32,
        result: Result<
            (crate::engine::PeerOutcome, crate::route::GateReport),
            crate::engine::PeerFault,
        >,
    ) {
        let first_output = out.len();
        self.with_calls(now, wall, out, |calls, cx| {
            calls.handle_peer_result(cx, call, attempt, result);
        });
        if out[first_output..].iter().any(|o| matches!(o, Output::AskConfig { .. })) {
            self.cluster.record_config_asked(now);
        }
    }

    fn apply_upstream_slots(&mut self, slots: u32) {
        // The slots that the upstream states may be outdated or wrong, so they only set the initial
        // limit, until the gate has a hold time of its own.
        if self.calls.gate().mean_hold_time().is_none() {
            self.calls.restart_limiter(Some(slots as usize));
        }
    }

    fn wake(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        if now >= self.calls.next_wake() {
            self.with_calls(now, wall, out, |calls, cx| calls.wake(cx));
        }
        let policy = self.calls.policy().clone();
        match self.phase {
            NodePhase::Starting(_) => self.ask_seeds(now, out),
            // The store keeps the newest record of each key, so a hosted node has nothing to
            // repeat.
            NodePhase::Serving(_) if self.hosted.is_some() => self.check_config(now, out),
            NodePhase::Serving(_) => {
                self.cluster.wake(now, &policy, self.calls.last_accepted, out);
            }
            NodePhase::Draining(_) | NodePhase::Closing(_) => {}
        }
    }

    fn apply_log_batch(
        &mut self,
        now: Time,
        batch: LogBatch,
        log_now: WallTime,
        out: &mut Vec<Output>,
    ) {
        match batch {
            LogBatch::Config { oldest, records } => {
                if self.cluster.apply_config_records(oldest, &records, self.policy_source.as_ref())
                {
                    self.apply_policy(now, ConfigSource::Platform, out);
                }
            }
            LogBatch::Members { service, oldest, records } => {
                self.cluster.apply_member_records(&service, oldest, &records, log_now);
                self.update_routes(now, &service, out);
            }
        }
    }

    /// Updates the instances of `service` in the router from the members that the log announces.
    fn update_routes(&mut self, now: Time, service: &ServiceName, out: &mut Vec<Output>) {
        let announced_members: Vec<(Member, InstanceState)> = self
            .cluster
            .announced_members(service)
            .filter(|(member, _)| member.vm != self.local_member.vm)
            .map(|(member, instance_state)| (member.clone(), instance_state))
            .collect();
        for (member, instance_state) in &announced_members {
            let is_new = self.calls.router().get_by_vm(&member.vm).is_none();
            self.add_instance(now, member, *instance_state);
            if is_new {
                record_route_change(out, &member.vm, "added to the router, as it announced itself");
            }
        }
        for expired in self.cluster.remove_expired() {
            // A member that still answers calls stays, even if its heartbeats no longer reach the
            // log.
            let still_answers =
                self.calls.router().get_by_vm(&expired.vm).is_some_and(|(_, instance)| {
                    instance.failures() == 0 && instance.last_answered_at().is_some()
                });
            if !still_answers {
                self.calls.router_mut().remove(&expired.vm);
                record_route_change(
                    out,
                    &expired.vm,
                    "removed from the router, as its heartbeats stopped",
                );
            }
        }
        self.record_key_slot_change(out);
    }

    fn record_key_slot_change(&mut self, out: &mut Vec<Output>) {
        let key_slots = self.cluster.key_slots_held();
        if key_slots != self.reported_key_slots {
            let kind = EventKind::LeasesChanged { from: self.reported_key_slots, to: key_slots };
            out.push(Output::RecordEvent(crate::engine::Event {
                request_id: None,
                rank: None,
                kind,
            }));
            self.reported_key_slots = key_slots;
        }
    }

    /// Applies the records of other members. Ignores those whose times lie in the future: no later
    /// record of the VM could replace them.
    pub(super) fn handle_peer_members(
        &mut self,
        now: Time,
        wall: WallTime,
        mut members: Vec<MemberRecord>,
        out: &mut Vec<Output>,
    ) {
        members.retain(|record| {
            let is_plausible = is_plausible(wall, record);
            if !is_plausible {
                let Member { vm, incarnation, .. } = &record.member;
                let kind = EventKind::MemberIgnored { vm: vm.clone(), incarnation: *incarnation };
                out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
            }
            is_plausible
        });
        self.cluster.record_peer_members(&members);
        for record in &members {
            let member = &record.member;
            if member.vm == self.local_member.vm {
                continue;
            }
            self.add_instance(now, member, Self::instance_state_of(record.state));
        }
        self.divide_retries();
    }

    fn apply_policy(&mut self, now: Time, source: ConfigSource, out: &mut Vec<Output>) {
        let Some(policy) = self.policy_source.policy(&self.cluster) else { return };
        let callees = policy.service(&self.local_member.service).map(|rule| rule.callees.clone());
        self.calls.set_policy(now, Arc::new(policy));
        self.subscribe(callees.unwrap_or_default(), out);
        let kind = EventKind::ConfigInForce { version: self.cluster.config_version(), source };
        out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        if matches!(self.phase, NodePhase::Starting(_)) {
            self.phase.serve();
            self.record_phase(out);
        }
    }

    /// Subscribes to the streams of those `services` that the node does not read yet.
    fn subscribe(&mut self, services: Vec<ServiceName>, out: &mut Vec<Output>) {
        let new: Vec<ServiceName> =
            services.into_iter().filter(|s| self.cluster.membership(s).is_none()).collect();
        if !new.is_empty() {
            self.cluster.subscribe(new.iter().cloned());
            out.push(Output::Subscribe(new));
        }
    }

    /// Subscribes to the services that were called for the first time.
    fn subscribe_to_new_callees(&mut self, out: &mut Vec<Output>) {
        let callees = self.calls.drain_new_callees();
        if !callees.is_empty() {
            self.subscribe(callees, out);
        }
    }

    fn drain(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        if self.phase.is_draining() {
            return;
        }
        self.phase.drain(now);
        self.record_phase(out);
        // The upstream of a hosted node may outlive it, so it is served until the node closes.
        if self.hosted.is_some() {
            return;
        }
        let policy = self.calls.policy().clone();
        self.cluster.announce_draining(now, &policy, out);
        self.announce_draining_to_peers(out);
        self.with_calls(now, wall, out, |calls, cx| calls.refuse_all_queued(cx));
    }

    /// Announces to all nodes that have answered a call that this one is draining.
    pub(super) fn announce_draining_to_peers(&self, out: &mut Vec<Output>) {
        let peers = self.calls.router().iter().filter(|(_, i)| i.last_answered_at().is_some());
        out.push(Output::AnnounceDraining(peers.map(|(_, i)| (i.vm.clone(), i.addr)).collect()));
    }

    /// Releases the key slots and reports that the node has drained, once no call is in progress.
    fn finish_draining(&mut self, out: &mut Vec<Output>) {
        // Callers on the VM of a hosted node keep sending requests until they notice that it is
        // draining.
        let may_end =
            if self.hosted.is_some() { self.phase.is_closing() } else { self.phase.is_draining() };
        if !may_end || self.is_drained || !self.calls.is_empty() {
            return;
        }
        self.is_drained = true;
        if self.hosted.is_none() {
            let policy = self.calls.policy().clone();
            let last_accepted = self.calls.last_accepted;
            self.cluster.release_key_slots(&policy, last_accepted, out);
        }
        out.push(Output::Drained);
    }

    pub(super) fn record_phase(&self, out: &mut Vec<Output>) {
        let kind = EventKind::PhaseChanged { phase: self.phase.label() };
        out.push(Output::RecordEvent(crate::engine::Event { request_id: None, rank: None, kind }));
    }
}

fn record_route_change(out: &mut Vec<Output>, vm: &crate::names::VmName, change: &'static str) {
    let kind = EventKind::RouteChanged { vm: vm.clone(), change };
    out.push(Output::RecordEvent(crate::engine::Event { request_id: None, rank: None, kind }));
}

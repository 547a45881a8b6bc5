//! The whole node.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{
    config::Snapshot,
    engine::{
        Calls, ClusterState, EventKind, Input, InstanceStatus, LogBatch, NodeOptions, NodePhase,
        NodeStatus, Output, Phase, PolicySource, RankStatus, calls::Cx, routing::Hosted,
    },
    keys::{Home, IdempotencyKey},
    member::{Member, MemberRecord},
    names::{ServiceName, VmName},
    policy::RankIndex,
    route::{Instance, InstanceState},
    time::{Time, WallTime},
};

/// Time between two questions to the seeds.
const SEED_PAUSE: Duration = Duration::from_secs(1);
/// Tries to find a key whose home is here.
const MINT_TRIES: usize = 4096;

/// One node: its calls, its cluster state and its phase.
pub struct Node {
    pub(super) me: Member,
    pub(super) calls: Calls,
    pub(super) keeper: ClusterState,
    pub(super) life: NodePhase,
    pub(super) source: Box<dyn PolicySource + Send>,
    pub(super) hosted: Option<Hosted>,
    seeds: Vec<(VmName, SocketAddr)>,
    ask_seeds_at: Time,
    slots_noted: usize,
    has_left: bool,
}

impl Node {
    /// A node that has read nothing.
    pub fn new(options: NodeOptions) -> Self {
        let seed = options.call_options.seed;
        Self {
            calls: Calls::new(
                options.local_member.clone(),
                options.initial_policy,
                options.call_options,
            ),
            keeper: ClusterState::new(options.local_member.clone(), options.retention, seed),
            me: options.local_member,
            life: NodePhase::Starting(Phase::start()),
            source: options.policy_source,
            hosted: None,
            seeds: options.seeds,
            ask_seeds_at: Time::ZERO,
            slots_noted: 0,
            has_left: false,
        }
    }

    /// Takes in what happened and appends what is to be done.
    pub fn handle(&mut self, now: Time, wall: WallTime, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::CallArrived(arrival) => {
                self.with_calls(now, wall, out, |calls, cx| calls.arrive(cx, arrival));
            }
            Input::RequestArrived(req) => self.route(now, wall, out, req),
            Input::SiteDocument(document) => self.take_site(now, &document, out),
            Input::PeerReachable(vm) => self.calls.router_mut().mark_reachable(&vm),
            Input::CallerLeft(ticket) => {
                self.with_calls(now, wall, out, |calls, cx| calls.caller_left(cx, ticket));
            }
            Input::UpstreamDone { call, result } => {
                self.with_calls(now, wall, out, |calls, cx| calls.upstream_done(cx, call, result));
            }
            Input::PeerDone { call, attempt, result } => {
                self.peer_done(now, wall, out, call, attempt, result);
            }
            Input::UpstreamSlots { slots } => self.hint_slots(slots),
            Input::UpstreamRestarted => self.calls.restart_gate(None),
            Input::PeerSilent(vm) => {
                self.with_calls(now, wall, out, |calls, cx| calls.replace_connection(cx, &vm));
            }
            Input::Log { batch, log_now } => self.read_log(now, batch, log_now, out),
            Input::PeerConfig(snapshot) => {
                if let Some(document) = &snapshot.site_document {
                    self.take_site(now, document, out);
                } else if self.keeper.adopt_config(&snapshot, self.source.as_ref()) {
                    self.take_policy(now, out);
                }
            }
            Input::PeerDraining(vm) => {
                if let Some((key, _)) = self.calls.router().get_by_vm(&vm) {
                    self.calls.router_mut().mark_draining(key);
                }
            }
            Input::PeerMembers(members) => self.hear_members(now, &members),
            Input::Wake => self.wake(now, wall, out),
            Input::Drain => self.leave(now, wall, out),
            Input::Close => self.close(now, wall, out),
            Input::Terminate => self.with_calls(now, wall, out, |calls, cx| calls.end_all(cx)),
        }
        self.follow_called(out);
        self.say_if_left(out);
    }

    /// The earliest time at which the node wants an [`Input::Wake`].
    pub fn next_wake(&self) -> Time {
        match self.life {
            NodePhase::Serving(_) if self.hosted.is_some() => self.calls.next_wake(),
            NodePhase::Serving(_) => self.calls.next_wake().min(self.keeper.next_wake()),
            _ => self.calls.next_wake(),
        }
    }

    /// The calls in progress.
    pub fn calls(&self) -> &Calls {
        &self.calls
    }

    /// The state folded from the log.
    pub fn cluster(&self) -> &ClusterState {
        &self.keeper
    }

    /// The present phase.
    pub fn phase(&self) -> &NodePhase {
        &self.life
    }

    /// What the node is to other nodes.
    pub fn local_member(&self) -> &Member {
        &self.me
    }

    /// A key whose home is on this node, so that it can be used while the zone is cut off.
    pub fn mint_key(&mut self, wall: WallTime) -> Option<IdempotencyKey> {
        for _ in 0..MINT_TRIES {
            let random = u128::from(self.calls.random()) << 64 | u128::from(self.calls.random());
            let key = IdempotencyKey::mint(wall, random);
            let home = Home::of_key(key, &self.me.service, self.calls.policy())?;
            if self.keeper.accepts(&home, wall) {
                return Some(key);
            }
        }
        None
    }

    /// Marks the node as serving with the policy it was made with.
    pub fn serve(&mut self) {
        self.life.serve();
    }

    /// Adds an instance to the routes.
    pub fn add_instance(&mut self, now: Time, member: &Member, standing: InstanceState) {
        let ranks = self.calls.policy().ranks.len();
        let mut instance = Instance::new(
            now,
            member.vm.clone(),
            member.zone.clone(),
            member.addr,
            member.incarnation,
            ranks,
        );
        instance.state = standing;
        self.calls.router_mut().upsert(&member.service, instance);
    }

    /// The configuration in force, to be handed to another node.
    pub fn config_snapshot(&self) -> Option<Snapshot> {
        match self.site_config() {
            Some(site) => Some(Snapshot::of_site(site.version.0, site.document.clone())),
            None => self.keeper.history().snapshot(),
        }
    }

    /// A summary for status pages and metrics.
    pub fn status(&mut self, now: Time) -> NodeStatus {
        let ranks = self.rank_views(now);
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
            vm: self.me.vm.clone(),
            service: self.me.service.clone(),
            zone: self.me.zone.clone(),
            phase: self.life.label(),
            config_version: self.keeper.config_version(),
            concurrency_limit: calls.gate().limit(),
            in_flight: calls.gate().in_flight(),
            queued: calls.gate().queued(),
            key_slots: self.keeper.slots_held(),
            remembered_keys: calls.ledger().len(),
            instances: instances.collect(),
            ranks,
        }
    }

    fn rank_views(&mut self, now: Time) -> Vec<RankStatus> {
        let policy = self.calls.policy().clone();
        let views = policy.ranks.iter().enumerate().map(|(index, rank)| {
            let index = RankIndex(index as u8);
            RankStatus {
                rank: rank.name.clone(),
                share: self.calls.gate().share(index).fraction(),
                path_share: self.calls.path_share(now, index).fraction(),
            }
        });
        views.collect()
    }

    pub(super) fn with_calls(
        &mut self,
        now: Time,
        wall: WallTime,
        out: &mut Vec<Output>,
        act: impl FnOnce(&mut Calls, &mut Cx<'_>),
    ) {
        let mut cx = Cx { now, wall, life: &self.life, keeper: &self.keeper, out };
        act(&mut self.calls, &mut cx);
    }

    fn peer_done(
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
        let from = out.len();
        self.with_calls(now, wall, out, |calls, cx| calls.peer_done(cx, call, attempt, result));
        if out[from..].iter().any(|o| matches!(o, Output::AskConfig { .. })) {
            self.keeper.note_asked(now);
        }
    }

    fn hint_slots(&mut self, slots: u32) {
        // The upstream's own word may lag or be wrong, so it only starts a limit that has no
        // sample of its own yet.
        if self.calls.gate().mean_hold_time().is_none() {
            self.calls.restart_gate(Some(slots as usize));
        }
    }

    fn wake(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        if now >= self.calls.next_wake() {
            self.with_calls(now, wall, out, |calls, cx| calls.wake(cx));
        }
        let policy = self.calls.policy().clone();
        match self.life {
            NodePhase::Starting(_) => self.ask_seeds(now, out),
            // Nothing of the node has to be repeated in a log that keeps the newest of each key.
            NodePhase::Serving(_) if self.hosted.is_some() => {}
            NodePhase::Serving(_) => {
                self.keeper.wake(now, &policy, self.calls.latest_accepted, out);
            }
            NodePhase::Draining(_) | NodePhase::Closing(_) => {}
        }
    }

    fn read_log(&mut self, now: Time, batch: LogBatch, log_now: WallTime, out: &mut Vec<Output>) {
        match batch {
            LogBatch::Config { oldest, records } => {
                if self.keeper.read_config(oldest, &records, self.source.as_ref()) {
                    self.take_policy(now, out);
                }
            }
            LogBatch::Members { service, oldest, records } => {
                self.keeper.read_members(&service, oldest, &records, log_now);
                self.route_members(now, &service, out);
            }
        }
    }

    /// Brings the routes of `service` up to what the log announces.
    fn route_members(&mut self, now: Time, service: &ServiceName, out: &mut Vec<Output>) {
        let announced: Vec<(Member, InstanceState)> = self
            .keeper
            .announced(service)
            .filter(|(member, _)| member.vm != self.me.vm)
            .map(|(member, standing)| (member.clone(), standing))
            .collect();
        for (member, standing) in &announced {
            let is_new = self.calls.router().get_by_vm(&member.vm).is_none();
            self.add_instance(now, member, *standing);
            if is_new {
                note_route(out, &member.vm, "announced itself");
            }
        }
        for gone in self.keeper.take_expired() {
            // A member that still answers is not taken out for its silence in the log.
            let still_answers =
                self.calls.router().get_by_vm(&gone.vm).is_some_and(|(_, instance)| {
                    instance.failures() == 0 && instance.last_answered_at().is_some()
                });
            if !still_answers {
                self.calls.router_mut().remove(&gone.vm);
                note_route(out, &gone.vm, "gave no sign of life");
            }
        }
        self.note_slots(out);
    }

    fn note_slots(&mut self, out: &mut Vec<Output>) {
        let held = self.keeper.slots_held();
        if held != self.slots_noted {
            let kind = EventKind::LeasesChanged { from: self.slots_noted, to: held };
            out.push(Output::RecordEvent(crate::engine::Event {
                request_id: None,
                rank: None,
                kind,
            }));
            self.slots_noted = held;
        }
    }

    fn hear_members(&mut self, now: Time, members: &[MemberRecord]) {
        self.keeper.hear_members(members);
        for record in members {
            let member = &record.member;
            if member.vm == self.me.vm {
                continue;
            }
            self.add_instance(now, member, Self::standing_of(record.state));
        }
        self.divide_retries();
    }

    fn take_policy(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(policy) = self.source.policy(&self.keeper) else { return };
        let called = policy.service(&self.me.service).map(|rule| rule.callees.clone());
        self.calls.set_policy(now, Arc::new(policy));
        self.follow(called.unwrap_or_default(), out);
        let kind = EventKind::ConfigInForce { version: self.keeper.config_version() };
        out.push(Output::RecordEvent(crate::engine::Event { request_id: None, rank: None, kind }));
        if matches!(self.life, NodePhase::Starting(_)) {
            self.life.serve();
            self.note_phase(out);
        }
    }

    /// Reads the streams of services that are not subscribed to yet.
    fn follow(&mut self, services: Vec<ServiceName>, out: &mut Vec<Output>) {
        let new: Vec<ServiceName> =
            services.into_iter().filter(|s| self.keeper.roster(s).is_none()).collect();
        if !new.is_empty() {
            self.keeper.subscribe(new.iter().cloned());
            out.push(Output::Subscribe(new));
        }
    }

    /// Follows the services that calls were sent to for the first time.
    fn follow_called(&mut self, out: &mut Vec<Output>) {
        let called = self.calls.take_newly_called();
        if !called.is_empty() {
            self.follow(called, out);
        }
    }

    /// Asks other nodes for what the log cannot tell, while there is no configuration.
    fn ask_seeds(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.seeds.is_empty() || now < self.ask_seeds_at {
            return;
        }
        self.ask_seeds_at = now + SEED_PAUSE;
        for (vm, to) in &self.seeds {
            out.push(Output::AskConfig { addr: *to, vm: vm.clone() });
            out.push(Output::AskMembers {
                addr: *to,
                vm: vm.clone(),
                local_record: self.calls.own_record(),
            });
        }
    }

    fn leave(&mut self, now: Time, wall: WallTime, out: &mut Vec<Output>) {
        if self.life.is_draining() {
            return;
        }
        self.life.drain(now);
        self.note_phase(out);
        // The upstream of a hosted node may well outlive it, so it is served until the node closes.
        if self.hosted.is_some() {
            return;
        }
        let policy = self.calls.policy().clone();
        self.keeper.announce_draining(now, &policy, out);
        self.tell_leaving(out);
        self.with_calls(now, wall, out, |calls, cx| calls.leave_queue(cx));
    }

    /// Tells the nodes that have answered lately that this one takes no more calls.
    pub(super) fn tell_leaving(&self, out: &mut Vec<Output>) {
        let peers = self.calls.router().iter().filter(|(_, i)| i.last_answered_at().is_some());
        out.push(Output::AnnounceDraining(peers.map(|(_, i)| (i.vm.clone(), i.addr)).collect()));
    }

    /// Gives the key slots up once nothing is in progress.
    fn say_if_left(&mut self, out: &mut Vec<Output>) {
        // The callers on the VM of a hosted node go on sending until they have noticed.
        let may_end =
            if self.hosted.is_some() { self.life.is_closing() } else { self.life.is_draining() };
        if !may_end || self.has_left || !self.calls.is_empty() {
            return;
        }
        self.has_left = true;
        if self.hosted.is_none() {
            let policy = self.calls.policy().clone();
            let accepted = self.calls.latest_accepted;
            self.keeper.leave(&policy, accepted, out);
        }
        out.push(Output::Drained);
    }

    pub(super) fn note_phase(&self, out: &mut Vec<Output>) {
        let kind = EventKind::PhaseChanged { to: self.life.label() };
        out.push(Output::RecordEvent(crate::engine::Event { request_id: None, rank: None, kind }));
    }
}

fn note_route(out: &mut Vec<Output>, vm: &crate::names::VmName, what: &'static str) {
    let kind = EventKind::RouteChanged { vm: vm.clone(), what };
    out.push(Output::RecordEvent(crate::engine::Event { request_id: None, rank: None, kind }));
}

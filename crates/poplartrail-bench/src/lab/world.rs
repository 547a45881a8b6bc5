//! The run itself.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use poplartrail_core::{
    call::{Answer, Idempotency, Outcome, Payload, RequestId},
    engine::{
        Arrival, CallKey, EventKind, FixedPolicy, Input, Node, NodeOptions, Origin, Output,
        PeerCall, ReplyHandle, ReplyPort, UpstreamFault,
    },
    member::Member,
    names::{ServiceName, VmName, ZoneName},
    policy::{Policy, Ranks, ServiceRule},
    route::{GateReport, InstanceState},
    time::{Time, WallTime},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};

use crate::lab::{
    Fault, FaultKind, Graph, LabBuilder, Load, Repeats, Tally,
    fake_upstream::{FakeUpstream, Job},
    schedule::Schedule,
};

/// Wall-clock time at the start of a run.
const WALL_START: WallTime = WallTime::from_millis(1_800_000_000_000);
/// Time after the counted one in which the counted requests can end.
const RUN_OUT: Duration = Duration::from_secs(4);
/// Time after which the network's silence is noticed: a few round trips, 100 ms at least.
const SILENCE_NOTICE: Duration = Duration::from_millis(100);
/// Time after which a node notices that a killed one is gone.
const KILL_NOTICE: Duration = Duration::from_millis(5);

enum Event {
    Send { load: usize, request: u128, tries: u32 },
    Next { load: usize },
    Input { node: usize, input: Box<Input> },
    Wake { node: usize },
    WorkDone { node: usize, call: CallKey },
    Fault(usize),
}

/// Whoever waits for a ticket.
enum Waiter {
    Caller { load: usize, request: u128, tries: u32, entered: Time },
    Upstream { node: usize, call: CallKey },
    Peer { node: usize, call: CallKey, attempt: u32 },
}

struct Place {
    node: Node,
    upstream: FakeUpstream,
    service: usize,
    wake_at: Time,
    silent_from: Vec<bool>,
}

/// A run in progress.
pub struct Lab {
    graph: Graph,
    ranks: Ranks,
    loads: Vec<Load>,
    faults: Vec<Fault>,
    places: Vec<Place>,
    /// First place of each service.
    firsts: Vec<usize>,
    schedule: Schedule<Event>,
    waiters: HashMap<ReplyHandle, Waiter>,
    /// Tickets of calls between nodes, by their sender.
    sent: HashMap<(usize, CallKey, u32), (usize, ReplyHandle)>,
    /// Tickets of upstreams' outbound calls, by the call that they work on.
    below: HashMap<(usize, CallKey), ReplyHandle>,
    next_ticket: u64,
    random: SmallRng,
    tally: Tally,
    now: Time,
    measured_from: Time,
    measured_until: Time,
    until: Time,
    out: Vec<Output>,
}

fn service_name(service: usize) -> ServiceName {
    ServiceName::new(format!("service-{service}")).expect("the name is valid")
}

impl Lab {
    /// A run of `graph` under `ranks`, with every mechanism on.
    pub fn builder(graph: Graph, ranks: Ranks) -> LabBuilder {
        LabBuilder::new(graph, ranks)
    }

    pub(crate) fn new(options: &LabBuilder) -> Self {
        let policy = Arc::new(policy_of(options));
        let mut lab = Self {
            places: Vec::new(),
            firsts: Vec::new(),
            schedule: Schedule::new(),
            waiters: HashMap::new(),
            sent: HashMap::new(),
            below: HashMap::new(),
            next_ticket: 0,
            random: SmallRng::seed_from_u64(options.seed),
            tally: Tally::new(options.ranks.len()),
            now: Time::ZERO,
            measured_from: options.measured_from,
            measured_until: options.until,
            until: options.until + RUN_OUT,
            out: Vec::new(),
            graph: options.graph.clone(),
            ranks: options.ranks.clone(),
            loads: options.loads.clone(),
            faults: options.faults.clone(),
        };
        for service in 0..options.graph.services.len() {
            lab.firsts.push(lab.places.len());
            for instance in 0..options.graph.services[service].instances {
                lab.add_place(options, &policy, service, instance);
            }
        }
        lab.introduce_members();
        for (load, stream) in options.loads.iter().enumerate() {
            lab.schedule.plan(stream.from, Event::Next { load });
        }
        for (at, fault) in options.faults.iter().enumerate() {
            lab.schedule.plan(fault.at, Event::Fault(at));
        }
        lab
    }

    fn add_place(
        &mut self,
        options: &LabBuilder,
        policy: &Arc<Policy>,
        service: usize,
        instance: usize,
    ) {
        let at = self.places.len();
        let member = Member {
            vm: VmName::new(format!("vm-{at}")).expect("the name is valid"),
            incarnation: 1,
            service: service_name(service),
            zone: ZoneName::new(format!("zone-{}", instance % 3)).expect("the name is valid"),
            addr: SocketAddr::from(([127, 0, 0, 1], at as u16 + 1)),
            report_addr: SocketAddr::from(([127, 0, 0, 1], at as u16 + 1)),
        };
        let calls =
            options.calls.clone().max_calls(1_000_000).seed(options.seed ^ (at as u64) << 20);
        let mut node = Node::new(NodeOptions {
            local_member: member,
            initial_policy: policy.clone(),
            call_options: calls,
            retention: Duration::from_secs(3600),
            seeds: Vec::new(),
            policy_source: Box::new(FixedPolicy),
        });
        node.serve();
        let slots = self.graph.services[service].slots as u32;
        let wall = WALL_START;
        node.handle(Time::ZERO, wall, Input::UpstreamSlots { slots }, &mut Vec::new());
        let upstream = FakeUpstream::new(self.graph.services[service].slots);
        let silent_from = Vec::new();
        self.places.push(Place { node, upstream, service, wake_at: Time::ZERO, silent_from });
        self.schedule.plan(Time::ZERO, Event::Wake { node: at });
    }

    fn introduce_members(&mut self) {
        let members: Vec<Member> =
            self.places.iter().map(|p| p.node.local_member().clone()).collect();
        let count = members.len();
        for (at, place) in self.places.iter_mut().enumerate() {
            place.silent_from = vec![false; count];
            for (other, member) in members.iter().enumerate() {
                if other != at {
                    place.node.add_instance(Time::ZERO, member, InstanceState::Serving);
                }
            }
        }
    }

    pub(crate) fn run(mut self) -> Tally {
        while let Some((at, event)) = self.schedule.next() {
            if at > self.until {
                break;
            }
            self.now = at;
            self.take(event);
        }
        self.tally.limits = self.places.iter().map(|p| p.node.calls().gate().limit()).collect();
        for place in &self.places {
            let order = place.node.calls().gate().shedding_counts();
            self.tally.urgent_shed += order.urgent_shed;
            self.tally.order_violations += order.order_violations;
        }
        self.tally
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Next { load } => self.next_request(load),
            Event::Send { load, request, tries } => self.enter(load, request, tries),
            Event::Input { node, input } => self.handle(node, *input),
            Event::Wake { node } => {
                if self.places[node].wake_at <= self.now {
                    self.places[node].wake_at = Time::from_nanos(u64::MAX);
                    self.handle(node, Input::Wake);
                }
            }
            Event::WorkDone { node, call } => self.work_done(node, call),
            Event::Fault(at) => self.strike(at),
        }
    }

    fn is_measured(&self, entered: Time) -> bool {
        entered >= self.measured_from && entered <= self.measured_until
    }

    fn next_request(&mut self, load: usize) {
        let stream = &self.loads[load];
        if self.now >= stream.until || stream.rate <= 0.0 {
            return;
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / stream.rate;
        let request = self.random.random();
        self.schedule.plan(self.now + Duration::from_secs_f64(gap), Event::Next { load });
        if self.is_measured(self.now) {
            self.tally.ranks[self.loads[load].kind.rank].offered += 1;
        }
        self.enter(load, request, 0);
    }

    fn enter(&mut self, load: usize, request: u128, tries: u32) {
        let kind = self.loads[load].kind.clone();
        let rank = self.ranks.iter().nth(kind.rank).expect("the load names a rank");
        let (name, target) = (rank.name.clone(), rank.target);
        let node = self.random.random_range(0..self.graph.services[0].instances);
        let states_identity = matches!(self.loads[load].repeats, Repeats::Same(_));
        let entered = self.now;
        let waiter = Waiter::Caller { load, request, tries, entered };
        let ticket = self.ticket(ReplyPort::Ingress, waiter);
        let arrival = Arrival {
            reply_to: ticket,
            origin: Origin::Caller { has_request_id: states_identity },
            service: service_name(0),
            request_id: RequestId(request),
            rank: Some(name),
            deadline: Some(self.now + target),
            idempotency: Idempotency::Idempotent,
            payload: depth_payload(kind.depth - 1),
        };
        self.handle(node, Input::CallArrived(arrival));
    }

    fn ticket(&mut self, port: ReplyPort, waiter: Waiter) -> ReplyHandle {
        self.next_ticket += 1;
        let ticket = ReplyHandle { port, id: self.next_ticket };
        self.waiters.insert(ticket, waiter);
        ticket
    }

    fn handle(&mut self, node: usize, input: Input) {
        let mut out = std::mem::take(&mut self.out);
        let wall = WALL_START + Duration::from_nanos(self.now.as_nanos());
        let place = &mut self.places[node];
        place.node.handle(self.now, wall, input, &mut out);
        let wake = place.node.next_wake().max(self.now + Duration::from_nanos(1));
        if wake < place.wake_at || place.wake_at <= self.now {
            place.wake_at = wake;
            self.schedule.plan(wake, Event::Wake { node });
        }
        for output in out.drain(..) {
            self.carry(node, output);
        }
        self.out = out;
    }

    fn later(&mut self, wait: Duration, node: usize, input: Input) {
        let event = Event::Input { node, input: Box::new(input) };
        self.schedule.plan(self.now + wait, event);
    }

    fn carry(&mut self, node: usize, output: Output) {
        match output {
            Output::Reply { reply_to: ticket, outcome, report } => {
                self.reply(node, ticket, outcome, report);
            }
            Output::Dispatch { call, context, payload, .. } => {
                let below = payload.body.len();
                let request = context.request_id.0;
                let job = Job { request, below, since: self.now };
                self.dispatch(node, call, job);
            }
            Output::CancelDispatch { call } => self.cancel_dispatch(node, call),
            Output::Send(send) => {
                let PeerCall { call, attempt, addr: to, .. } = send;
                let other = usize::from(to.port()) - 1;
                let waiter = Waiter::Peer { node, call, attempt };
                let ticket = self.ticket(ReplyPort::Peers, waiter);
                self.sent.insert((node, call, attempt), (other, ticket));
                if self.places[node].silent_from[other] {
                    let vm = self.places[other].node.local_member().vm.clone();
                    return self.later(SILENCE_NOTICE, node, Input::PeerSilent(vm));
                }
                self.later(self.graph.hop, other, Input::CallArrived(send.into_arrival(ticket)));
            }
            Output::CancelSend { call, attempt } => {
                if let Some((other, ticket)) = self.sent.remove(&(node, call, attempt)) {
                    self.waiters.remove(&ticket);
                    self.later(self.graph.hop, other, Input::CallerLeft(ticket));
                }
            }
            Output::Disconnect { addr: to, .. } => {
                let other = usize::from(to.port()) - 1;
                // Calls over the new connection come later than this.
                self.places[node].silent_from[other] = false;
            }
            Output::RecordEvent(event) => self.note(&event),
            _ => {}
        }
    }

    fn note(&mut self, event: &poplartrail_core::engine::Event) {
        if let (EventKind::Retried { .. }, Some(request)) = (&event.kind, event.request_id) {
            self.tally.note_retry(request.0);
        }
    }

    fn reply(&mut self, node: usize, ticket: ReplyHandle, outcome: Outcome, report: GateReport) {
        match self.waiters.remove(&ticket) {
            Some(Waiter::Caller { load, request, tries, entered }) => {
                self.end_request(load, request, tries, entered, &outcome);
            }
            Some(Waiter::Upstream { node, call }) => {
                self.below.remove(&(node, call));
                let is_whole = matches!(&outcome, Outcome::Answered(answer) if answer.is_success());
                self.answer(node, call, if is_whole { 200 } else { 502 });
            }
            Some(Waiter::Peer { node: from, call, attempt }) => {
                self.sent.remove(&(from, call, attempt));
                if self.places[from].silent_from[node] {
                    return;
                }
                let result = Ok((outcome.into(), report));
                self.later(self.graph.hop, from, Input::PeerDone { call, attempt, result });
            }
            None => {}
        }
    }

    fn end_request(
        &mut self,
        load: usize,
        request: u128,
        tries: u32,
        entered: Time,
        outcome: &Outcome,
    ) {
        let stream = &self.loads[load];
        let rank = stream.kind.rank;
        let target = self.ranks.iter().nth(rank).expect("the load names a rank").target;
        let is_answered = matches!(outcome, Outcome::Answered(a) if a.is_success());
        let is_whole = is_answered && self.now.since(entered) <= target;
        let (max_tries, is_same) = match stream.repeats {
            Repeats::None => (0, false),
            Repeats::Fresh(max) => (max, false),
            Repeats::Same(max) => (max, true),
        };
        let is_repeated = !is_whole && tries < max_tries;
        let pause = stream.pause;
        let is_counted = self.is_measured(entered);
        if is_whole {
            self.tally.note_whole(self.now);
        }
        if is_counted && !is_repeated {
            let counts = &mut self.tally.ranks[rank];
            match outcome {
                _ if is_whole => counts.whole += 1,
                Outcome::NotRun(not_run) => {
                    counts.not_run += 1;
                    *self.tally.refusals.entry((rank, not_run.reason())).or_default() += 1;
                }
                _ => counts.failed += 1,
            }
        }
        self.tally.end_request(request, is_whole);
        if is_repeated {
            let request = if is_same { request } else { self.random.random() };
            let again = Event::Send { load, request, tries: tries + 1 };
            self.schedule.plan(self.now + pause, again);
        }
    }

    fn dispatch(&mut self, node: usize, call: CallKey, job: Job) {
        if self.places[node].upstream.is_dead {
            let result = Err(UpstreamFault::NotConnected);
            return self.later(
                Duration::from_micros(100),
                node,
                Input::UpstreamDone { call, result },
            );
        }
        if self.places[node].upstream.take(self.now, call, job) {
            self.begin_work(node, call);
        }
    }

    fn begin_work(&mut self, node: usize, call: CallKey) {
        let place = &self.places[node];
        let mean = self.graph.services[place.service].work.as_secs_f64();
        let draw = -(1.0 - self.random.random::<f64>()).ln();
        let work = Duration::from_secs_f64(mean * place.upstream.slowness * draw);
        self.schedule.plan(self.now + work, Event::WorkDone { node, call });
    }

    fn work_done(&mut self, node: usize, call: CallKey) {
        let place = &self.places[node];
        let Some(job) = place.upstream.job(call).copied() else { return };
        if job.below == 0 {
            return self.answer(node, call, 200);
        }
        let service = service_name(place.service + 1);
        let ticket = self.ticket(ReplyPort::Ingress, Waiter::Upstream { node, call });
        self.below.insert((node, call), ticket);
        let arrival = Arrival {
            reply_to: ticket,
            origin: Origin::Upstream { parent: Some(call) },
            service,
            request_id: RequestId(job.request),
            rank: None,
            deadline: None,
            idempotency: Idempotency::Idempotent,
            payload: depth_payload(job.below - 1),
        };
        self.handle(node, Input::CallArrived(arrival));
    }

    fn answer(&mut self, node: usize, call: CallKey, status: u16) {
        if !self.end_job(node, call) {
            return;
        }
        let loss = self.places[node].upstream.loss;
        let is_lost = loss > 0.0 && self.random.random::<f64>() < loss;
        let answer = Answer { status, fields: Vec::new(), body: bytes::Bytes::new() };
        let result = if is_lost { Err(UpstreamFault::Lost) } else { Ok(answer) };
        // The slot goes to a call that waits in the upstream, not to one that comes later.
        self.start_next(node);
        self.handle(node, Input::UpstreamDone { call, result });
    }

    /// Ends a call in the upstream; `false` if it has ended already.
    fn end_job(&mut self, node: usize, call: CallKey) -> bool {
        let Some(job) = self.places[node].upstream.end(call) else { return false };
        if self.is_measured(job.since) {
            let seconds = self.now.since(job.since).as_secs_f64();
            self.tally.note_slot_time(node, job.request, seconds);
        }
        true
    }

    fn start_next(&mut self, node: usize) {
        while let Some(call) = self.places[node].upstream.next(self.now) {
            self.begin_work(node, call);
        }
    }

    fn cancel_dispatch(&mut self, node: usize, call: CallKey) {
        self.end_job(node, call);
        // The upstream drops its outbound call with the inbound one.
        if let Some(ticket) = self.below.remove(&(node, call)) {
            self.waiters.remove(&ticket);
            self.later(Duration::ZERO, node, Input::CallerLeft(ticket));
        }
        self.start_next(node);
    }

    fn strike(&mut self, at: usize) {
        match self.faults[at].kind.clone() {
            FaultKind::Slow { service, factor } => {
                self.for_service(service, |place| place.upstream.slowness = factor);
            }
            FaultKind::Lose { service, loss } => {
                self.for_service(service, |place| place.upstream.loss = loss);
            }
            FaultKind::Kill { service, instance } => self.kill(self.firsts[service] + instance),
            FaultKind::Return { service, instance } => {
                let node = self.firsts[service] + instance;
                self.places[node].upstream.is_dead = false;
                self.handle(node, Input::UpstreamRestarted);
                let slots = self.graph.services[service].slots as u32;
                self.handle(node, Input::UpstreamSlots { slots });
            }
            FaultKind::Silence { service, instance } => {
                let node = self.firsts[service] + instance;
                self.places.iter_mut().for_each(|place| place.silent_from[node] = true);
            }
            FaultKind::State { service, slots } => {
                let first = self.firsts[service];
                for node in first..first + self.graph.services[service].instances {
                    self.handle(node, Input::UpstreamSlots { slots });
                }
            }
        }
    }

    fn for_service(&mut self, service: usize, mut change: impl FnMut(&mut Place)) {
        self.places.iter_mut().filter(|p| p.service == service).for_each(&mut change);
    }

    fn kill(&mut self, node: usize) {
        self.places[node].upstream.is_dead = true;
        for call in self.places[node].upstream.clear() {
            let result = Err(UpstreamFault::Lost);
            self.later(KILL_NOTICE, node, Input::UpstreamDone { call, result });
        }
    }
}

/// A payload whose length states how many services are still below.
fn depth_payload(below: usize) -> Payload {
    const ZEROS: &[u8] = &[0; 64];
    Payload { body: bytes::Bytes::from_static(&ZEROS[..below]), ..Payload::default() }
}

fn policy_of(options: &LabBuilder) -> Policy {
    let services = (0..options.graph.services.len())
        .map(|s| ServiceRule { name: service_name(s), key_slots: 1, callees: Vec::new() })
        .collect();
    let zones = (0..3)
        .map(|zone| ZoneName::new(format!("zone-{zone}")).expect("the name is valid"))
        .collect();
    Policy::new(options.ranks.clone(), services, zones, options.bounds.clone())
        .expect("the lab's policy is valid")
}

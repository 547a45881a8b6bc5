//! Event loop of the simulation.

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

use crate::simulation::{
    Fault, FaultKind, Graph, Load, RepeatPolicy, RunStats, SimulationBuilder,
    event_queue::EventQueue,
    fake_upstream::{FakeUpstream, Job},
};

/// Wall-clock time at the start of a run.
const WALL_CLOCK_START: WallTime = WallTime::from_millis(1_800_000_000_000);
/// Time after the measurement window in which the requests that it counts can end.
const COOL_DOWN: Duration = Duration::from_secs(4);
/// Time until a node detects a silent connection. A real node waits for a few round trips, but at
/// least 100 ms.
const SILENCE_DETECTION_DELAY: Duration = Duration::from_millis(100);
/// Time until a node sees that its upstream was killed.
const KILL_DETECTION_DELAY: Duration = Duration::from_millis(5);

enum Event {
    Repeat { load: usize, request: u128, repeats: u32 },
    NextRequest { load: usize },
    Input { node: usize, input: Box<Input> },
    Wake { node: usize },
    WorkDone { node: usize, call: CallKey },
    Fault(usize),
}

/// Party that waits for the reply to a call.
enum Waiter {
    Caller { load: usize, request: u128, repeats: u32, sent_at: Time },
    Upstream { node: usize, call: CallKey },
    Peer { node: usize, call: CallKey, attempt: u32 },
}

/// A node with its upstream.
struct Vm {
    node: Node,
    upstream: FakeUpstream,
    service: usize,
    wake_at: Time,
    /// By index of the other VM: whether the connection to it drops all traffic.
    silent_peers: Vec<bool>,
}

/// A simulation of a fleet of nodes, driven by seeded random numbers in virtual time.
pub struct Simulation {
    graph: Graph,
    ranks: Ranks,
    loads: Vec<Load>,
    faults: Vec<Fault>,
    vms: Vec<Vm>,
    /// Index of the first VM of each service.
    first_vms: Vec<usize>,
    events: EventQueue<Event>,
    waiters: HashMap<ReplyHandle, Waiter>,
    /// Receiver and reply handle of each call between nodes, by sender, call and attempt.
    peer_calls: HashMap<(usize, CallKey, u32), (usize, ReplyHandle)>,
    /// Reply handles of the outbound calls of upstreams, by VM and inbound call.
    nested_calls: HashMap<(usize, CallKey), ReplyHandle>,
    next_reply_id: u64,
    rng: SmallRng,
    stats: RunStats,
    now: Time,
    measured_from: Time,
    measured_until: Time,
    end: Time,
    outputs: Vec<Output>,
}

fn service_name(service: usize) -> ServiceName {
    ServiceName::new(format!("service-{service}")).expect("the name is valid")
}

impl Simulation {
    /// Starts the configuration of a run of `graph` with `ranks` and all mechanisms enabled.
    pub fn builder(graph: Graph, ranks: Ranks) -> SimulationBuilder {
        SimulationBuilder::new(graph, ranks)
    }

    pub(crate) fn new(options: &SimulationBuilder) -> Self {
        let policy = Arc::new(policy_of(options));
        let mut simulation = Self {
            vms: Vec::new(),
            first_vms: Vec::new(),
            events: EventQueue::new(),
            waiters: HashMap::new(),
            peer_calls: HashMap::new(),
            nested_calls: HashMap::new(),
            next_reply_id: 0,
            rng: SmallRng::seed_from_u64(options.seed),
            stats: RunStats::new(options.ranks.len()),
            now: Time::ZERO,
            measured_from: options.measured_from,
            measured_until: options.measured_until,
            end: options.measured_until + COOL_DOWN,
            outputs: Vec::new(),
            graph: options.graph.clone(),
            ranks: options.ranks.clone(),
            loads: options.loads.clone(),
            faults: options.faults.clone(),
        };
        for service in 0..options.graph.services.len() {
            simulation.first_vms.push(simulation.vms.len());
            for instance in 0..options.graph.services[service].instances {
                simulation.add_vm(options, &policy, service, instance);
            }
        }
        simulation.register_instances();
        for (load, stream) in options.loads.iter().enumerate() {
            simulation.events.push(stream.from, Event::NextRequest { load });
        }
        for (index, fault) in options.faults.iter().enumerate() {
            simulation.events.push(fault.at, Event::Fault(index));
        }
        simulation
    }

    fn add_vm(
        &mut self,
        options: &SimulationBuilder,
        policy: &Arc<Policy>,
        service: usize,
        instance: usize,
    ) {
        let index = self.vms.len();
        let member = Member {
            vm: VmName::new(format!("vm-{index}")).expect("the name is valid"),
            incarnation: 1,
            service: service_name(service),
            zone: ZoneName::new(format!("zone-{}", instance % 3)).expect("the name is valid"),
            addr: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
            report_addr: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
        };
        let call_options = options
            .call_options
            .clone()
            .max_calls(1_000_000)
            .seed(options.seed ^ (index as u64) << 20);
        let mut node = Node::new(NodeOptions {
            local_member: member,
            initial_policy: policy.clone(),
            call_options,
            retention: Duration::from_secs(3600),
            seeds: Vec::new(),
            policy_source: Box::new(FixedPolicy),
        });
        node.serve();
        let slots = self.graph.services[service].slots as u32;
        let wall = WALL_CLOCK_START;
        node.handle(Time::ZERO, wall, Input::UpstreamSlots { slots }, &mut Vec::new());
        let upstream = FakeUpstream::new(self.graph.services[service].slots);
        let silent_peers = Vec::new();
        self.vms.push(Vm { node, upstream, service, wake_at: Time::ZERO, silent_peers });
        self.events.push(Time::ZERO, Event::Wake { node: index });
    }

    fn register_instances(&mut self) {
        let members: Vec<Member> =
            self.vms.iter().map(|vm| vm.node.local_member().clone()).collect();
        let count = members.len();
        for (index, vm) in self.vms.iter_mut().enumerate() {
            vm.silent_peers = vec![false; count];
            for (other, member) in members.iter().enumerate() {
                if other != index {
                    vm.node.add_instance(Time::ZERO, member, InstanceState::Serving);
                }
            }
        }
    }

    pub(crate) fn run(mut self) -> RunStats {
        while let Some((at, event)) = self.events.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            self.handle_event(event);
        }
        self.stats.limits = self.vms.iter().map(|vm| vm.node.calls().gate().limit()).collect();
        for vm in &self.vms {
            let order = vm.node.calls().gate().shedding_counts();
            self.stats.urgent_shed += order.urgent_shed;
            self.stats.order_violations += order.order_violations;
        }
        self.stats
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::NextRequest { load } => self.generate_request(load),
            Event::Repeat { load, request, repeats } => self.send_request(load, request, repeats),
            Event::Input { node, input } => self.handle_input(node, *input),
            Event::Wake { node } => {
                if self.vms[node].wake_at <= self.now {
                    self.vms[node].wake_at = Time::from_nanos(u64::MAX);
                    self.handle_input(node, Input::Wake);
                }
            }
            Event::WorkDone { node, call } => self.work_done(node, call),
            Event::Fault(index) => self.inject_fault(index),
        }
    }

    fn is_measured(&self, at: Time) -> bool {
        at >= self.measured_from && at <= self.measured_until
    }

    fn generate_request(&mut self, load: usize) {
        let stream = &self.loads[load];
        if self.now >= stream.until || stream.rate_per_s <= 0.0 {
            return;
        }
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / stream.rate_per_s;
        let request = self.rng.random();
        self.events.push(self.now + Duration::from_secs_f64(gap), Event::NextRequest { load });
        if self.is_measured(self.now) {
            self.stats.ranks[self.loads[load].kind.rank].offered += 1;
        }
        self.send_request(load, request, 0);
    }

    fn send_request(&mut self, load: usize, request: u128, repeats: u32) {
        let kind = self.loads[load].kind.clone();
        let rank = self.ranks.iter().nth(kind.rank).expect("the load names a rank");
        let (name, target) = (rank.name.clone(), rank.target);
        let node = self.rng.random_range(0..self.graph.services[0].instances);
        let has_request_id =
            matches!(self.loads[load].repeat_policy, RepeatPolicy::SameRequestId(_));
        let sent_at = self.now;
        let waiter = Waiter::Caller { load, request, repeats, sent_at };
        let handle = self.new_reply_handle(ReplyPort::Ingress, waiter);
        let arrival = Arrival {
            reply_to: handle,
            origin: Origin::Caller { has_request_id },
            service: service_name(0),
            request_id: RequestId(request),
            rank: Some(name),
            deadline: Some(self.now + target),
            idempotency: Idempotency::Idempotent,
            payload: depth_payload(kind.depth - 1),
        };
        self.handle_input(node, Input::CallArrived(arrival));
    }

    fn new_reply_handle(&mut self, port: ReplyPort, waiter: Waiter) -> ReplyHandle {
        self.next_reply_id += 1;
        let handle = ReplyHandle { port, id: self.next_reply_id };
        self.waiters.insert(handle, waiter);
        handle
    }

    fn handle_input(&mut self, node: usize, input: Input) {
        let mut outputs = std::mem::take(&mut self.outputs);
        let wall = WALL_CLOCK_START + Duration::from_nanos(self.now.as_nanos());
        let vm = &mut self.vms[node];
        vm.node.handle(self.now, wall, input, &mut outputs);
        let wake = vm.node.next_wake().max(self.now + Duration::from_nanos(1));
        if wake < vm.wake_at || vm.wake_at <= self.now {
            vm.wake_at = wake;
            self.events.push(wake, Event::Wake { node });
        }
        for output in outputs.drain(..) {
            self.apply_output(node, output);
        }
        self.outputs = outputs;
    }

    fn deliver(&mut self, delay: Duration, node: usize, input: Input) {
        let event = Event::Input { node, input: Box::new(input) };
        self.events.push(self.now + delay, event);
    }

    fn apply_output(&mut self, node: usize, output: Output) {
        match output {
            Output::Reply { reply_to: handle, outcome, report } => {
                self.reply(node, handle, outcome, report);
            }
            Output::Dispatch { call, context, payload, .. } => {
                let remaining_depth = payload.body.len();
                let request = context.request_id.0;
                let job = Job { request, remaining_depth, started_at: self.now };
                self.dispatch(node, call, job);
            }
            Output::CancelDispatch { call } => self.cancel_dispatch(node, call),
            Output::Send(send) => {
                let PeerCall { call, attempt, addr: to, .. } = send;
                let other = usize::from(to.port()) - 1;
                let waiter = Waiter::Peer { node, call, attempt };
                let handle = self.new_reply_handle(ReplyPort::Peers, waiter);
                self.peer_calls.insert((node, call, attempt), (other, handle));
                if self.vms[node].silent_peers[other] {
                    let peer = self.vms[other].node.local_member().vm.clone();
                    return self.deliver(SILENCE_DETECTION_DELAY, node, Input::PeerSilent(peer));
                }
                self.deliver(
                    self.graph.hop_latency,
                    other,
                    Input::CallArrived(send.into_arrival(handle)),
                );
            }
            Output::CancelSend { call, attempt } => {
                if let Some((other, handle)) = self.peer_calls.remove(&(node, call, attempt)) {
                    self.waiters.remove(&handle);
                    self.deliver(self.graph.hop_latency, other, Input::CallerLeft(handle));
                }
            }
            Output::Disconnect { addr: to, .. } => {
                let other = usize::from(to.port()) - 1;
                // The flag can be cleared at once: the node outputs the calls over the new
                // connection only after this output.
                self.vms[node].silent_peers[other] = false;
            }
            Output::RecordEvent(event) => self.record_event(&event),
            _ => {}
        }
    }

    fn record_event(&mut self, event: &poplartrail_core::engine::Event) {
        if let (EventKind::Retried { .. }, Some(request)) = (&event.kind, event.request_id) {
            self.stats.record_retry(request.0);
        }
    }

    fn reply(&mut self, node: usize, handle: ReplyHandle, outcome: Outcome, report: GateReport) {
        match self.waiters.remove(&handle) {
            Some(Waiter::Caller { load, request, repeats, sent_at }) => {
                self.finish_request(load, request, repeats, sent_at, &outcome);
            }
            Some(Waiter::Upstream { node, call }) => {
                self.nested_calls.remove(&(node, call));
                let is_success =
                    matches!(&outcome, Outcome::Answered(answer) if answer.is_success());
                self.answer(node, call, if is_success { 200 } else { 502 });
            }
            Some(Waiter::Peer { node: from, call, attempt }) => {
                self.peer_calls.remove(&(from, call, attempt));
                if self.vms[from].silent_peers[node] {
                    return;
                }
                let result = Ok((outcome.into(), report));
                self.deliver(
                    self.graph.hop_latency,
                    from,
                    Input::PeerDone { call, attempt, result },
                );
            }
            None => {}
        }
    }

    fn finish_request(
        &mut self,
        load: usize,
        request: u128,
        repeats: u32,
        sent_at: Time,
        outcome: &Outcome,
    ) {
        let stream = &self.loads[load];
        let rank = stream.kind.rank;
        let target = self.ranks.iter().nth(rank).expect("the load names a rank").target;
        let is_answered = matches!(outcome, Outcome::Answered(a) if a.is_success());
        let is_success = is_answered && self.now.since(sent_at) <= target;
        let (max_repeats, keeps_request_id) = match stream.repeat_policy {
            RepeatPolicy::None => (0, false),
            RepeatPolicy::NewRequestId(max) => (max, false),
            RepeatPolicy::SameRequestId(max) => (max, true),
        };
        let is_repeated = !is_success && repeats < max_repeats;
        let repeat_delay = stream.repeat_delay;
        let is_counted = self.is_measured(sent_at);
        if is_success {
            self.stats.record_success(self.now);
        }
        if is_counted && !is_repeated {
            let counts = &mut self.stats.ranks[rank];
            match outcome {
                _ if is_success => counts.succeeded += 1,
                Outcome::NotRun(not_run) => {
                    counts.not_run += 1;
                    *self.stats.refusals.entry((rank, not_run.reason())).or_default() += 1;
                }
                _ => counts.failed += 1,
            }
        }
        self.stats.record_request_end(request, is_success);
        if is_repeated {
            let request = if keeps_request_id { request } else { self.rng.random() };
            let again = Event::Repeat { load, request, repeats: repeats + 1 };
            self.events.push(self.now + repeat_delay, again);
        }
    }

    fn dispatch(&mut self, node: usize, call: CallKey, job: Job) {
        if self.vms[node].upstream.is_killed {
            let result = Err(UpstreamFault::NotConnected);
            return self.deliver(
                Duration::from_micros(100),
                node,
                Input::UpstreamDone { call, result, notice: None },
            );
        }
        if self.vms[node].upstream.accept(self.now, call, job) {
            self.start_work(node, call);
        }
    }

    fn start_work(&mut self, node: usize, call: CallKey) {
        let vm = &self.vms[node];
        let mean = self.graph.services[vm.service].mean_self_time.as_secs_f64();
        let draw = -(1.0 - self.rng.random::<f64>()).ln();
        let work = Duration::from_secs_f64(mean * vm.upstream.service_time_factor * draw);
        self.events.push(self.now + work, Event::WorkDone { node, call });
    }

    fn work_done(&mut self, node: usize, call: CallKey) {
        let vm = &self.vms[node];
        let Some(job) = vm.upstream.job(call).copied() else { return };
        if job.remaining_depth == 0 {
            return self.answer(node, call, 200);
        }
        let service = service_name(vm.service + 1);
        let handle = self.new_reply_handle(ReplyPort::Ingress, Waiter::Upstream { node, call });
        self.nested_calls.insert((node, call), handle);
        let arrival = Arrival {
            reply_to: handle,
            origin: Origin::Upstream { parent: Some(call) },
            service,
            request_id: RequestId(job.request),
            rank: None,
            deadline: None,
            idempotency: Idempotency::Idempotent,
            payload: depth_payload(job.remaining_depth - 1),
        };
        self.handle_input(node, Input::CallArrived(arrival));
    }

    fn answer(&mut self, node: usize, call: CallKey, status: u16) {
        if !self.end_job(node, call) {
            return;
        }
        let loss = self.vms[node].upstream.answer_loss;
        let is_lost = loss > 0.0 && self.rng.random::<f64>() < loss;
        let answer = Answer { status, fields: Vec::new(), body: bytes::Bytes::new() };
        let result = if is_lost { Err(UpstreamFault::Lost) } else { Ok(answer) };
        // A call queued in the upstream gets the slot before any call that the node dispatches.
        self.start_queued(node);
        self.handle_input(node, Input::UpstreamDone { call, result, notice: None });
    }

    /// Ends a call in the upstream and returns whether it held a slot.
    fn end_job(&mut self, node: usize, call: CallKey) -> bool {
        let Some(job) = self.vms[node].upstream.remove(call) else { return false };
        if self.is_measured(job.started_at) {
            let seconds = self.now.since(job.started_at).as_secs_f64();
            self.stats.record_slot_time(node, job.request, seconds);
        }
        true
    }

    fn start_queued(&mut self, node: usize) {
        while let Some(call) = self.vms[node].upstream.dequeue(self.now) {
            self.start_work(node, call);
        }
    }

    fn cancel_dispatch(&mut self, node: usize, call: CallKey) {
        self.end_job(node, call);
        // The upstream cancels its outbound call together with the inbound one.
        if let Some(handle) = self.nested_calls.remove(&(node, call)) {
            self.waiters.remove(&handle);
            self.deliver(Duration::ZERO, node, Input::CallerLeft(handle));
        }
        self.start_queued(node);
    }

    fn inject_fault(&mut self, index: usize) {
        match self.faults[index].kind.clone() {
            FaultKind::Slow { service, factor } => {
                self.update_vms(service, |vm| vm.upstream.service_time_factor = factor);
            }
            FaultKind::LoseAnswers { service, probability } => {
                self.update_vms(service, |vm| vm.upstream.answer_loss = probability);
            }
            FaultKind::Kill { service, instance } => self.kill(self.first_vms[service] + instance),
            FaultKind::Restart { service, instance } => {
                let node = self.first_vms[service] + instance;
                self.vms[node].upstream.is_killed = false;
                self.handle_input(node, Input::UpstreamRestarted);
                let slots = self.graph.services[service].slots as u32;
                self.handle_input(node, Input::UpstreamSlots { slots });
            }
            FaultKind::Silence { service, instance } => {
                let node = self.first_vms[service] + instance;
                self.vms.iter_mut().for_each(|vm| vm.silent_peers[node] = true);
            }
            FaultKind::ReportSlots { service, slots } => {
                let first = self.first_vms[service];
                for node in first..first + self.graph.services[service].instances {
                    self.handle_input(node, Input::UpstreamSlots { slots });
                }
            }
        }
    }

    fn update_vms(&mut self, service: usize, mut change: impl FnMut(&mut Vm)) {
        self.vms.iter_mut().filter(|vm| vm.service == service).for_each(&mut change);
    }

    fn kill(&mut self, node: usize) {
        self.vms[node].upstream.is_killed = true;
        for call in self.vms[node].upstream.drop_all() {
            let result = Err(UpstreamFault::Lost);
            self.deliver(
                KILL_DETECTION_DELAY,
                node,
                Input::UpstreamDone { call, result, notice: None },
            );
        }
    }
}

/// Returns a payload whose length is the number of services that the request has to visit after the
/// receiver of the payload.
fn depth_payload(remaining_depth: usize) -> Payload {
    const ZEROS: &[u8] = &[0; 64];
    Payload { body: bytes::Bytes::from_static(&ZEROS[..remaining_depth]), ..Payload::default() }
}

fn policy_of(options: &SimulationBuilder) -> Policy {
    let services = (0..options.graph.services.len())
        .map(|s| ServiceRule { name: service_name(s), key_slots: 1, callees: Vec::new() })
        .collect();
    let zones = (0..3)
        .map(|zone| ZoneName::new(format!("zone-{zone}")).expect("the name is valid"))
        .collect();
    Policy::new(options.ranks.clone(), services, zones, options.bounds.clone())
        .expect("the simulation's policy is valid")
}

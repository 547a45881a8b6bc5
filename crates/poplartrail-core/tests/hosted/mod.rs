//! A hosted node and two instances of another service, one of them in the node's availability zone.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use poplartrail_core::{
    call::{Answer, Idempotency, Outcome, Payload, Refusal, RequestId, RetryBudget, Share},
    config::{Document, DocumentCheck, DocumentId},
    engine::{
        Arrival, CallKey, CallOptions, ClusterState, Input, Mechanisms, Node, NodeOptions, Origin,
        Output, PeerCall, PeerFault, PeerOutcome, PolicySource, ReplyHandle, ReplyPort,
        UnroutedRequest,
    },
    keys::LeaseTerms,
    member::{Member, MemberRecord, MemberState},
    names::{InstanceName, RankName, RouteName, ServiceName, VmName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks},
    route::GateReport,
    site::{
        CallerLimits, HostRoutes, RouteRule, RouteTable, SiteConfig, SiteVersion, WeightedService,
    },
    time::{Time, WallTime},
    upstream::{CallRate, Deregistration, Heartbeat, ReportedState, UpstreamTerms},
};

/// VM of the instance in the node's availability zone.
pub(crate) const NEAR: &str = "near-1";
/// VM of the instance in another availability zone.
pub(crate) const FAR: &str = "far-1";
/// Path of idempotent requests, which may run more than once.
pub(crate) const READ: &str = "/read/x";
/// Path of requests that may run at most once.
pub(crate) const BOOK: &str = "/book/x";
/// Path of idempotent requests for another service, with one instance.
pub(crate) const SIDE: &str = "/side/x";

const NOW: Time = Time::from_millis(10);
/// Time of day of the runs.
pub(crate) const WALL: WallTime = WallTime::from_millis(1_800_000_000_000);

struct TestPolicySource;

impl DocumentCheck for TestPolicySource {
    fn check(
        &self,
        _before: &BTreeMap<DocumentId, Document>,
        _after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>> {
        Ok(())
    }
}

impl PolicySource for TestPolicySource {
    fn policy(&self, _state: &ClusterState) -> Option<Policy> {
        None
    }

    fn decode_site(&self, document: &Bytes) -> Result<SiteConfig, Arc<str>> {
        let rule = |name: &str, is_idempotent| RouteRule {
            name: RouteName::new(name).unwrap(),
            is_idempotent,
            services: vec![WeightedService { service: service("back"), weight: 1 }],
            timeout: Duration::from_secs(1),
            target_latency: Duration::from_millis(300),
            max_attempts: 2,
            priority: 1,
        };
        let services = vec![WeightedService { service: service("side"), weight: 1 }];
        let side = RouteRule { services, ..rule("side", true) };
        let prefixes = vec![
            (Arc::from("/read/"), rule("read", true)),
            (Arc::from("/book/"), rule("book", false)),
            (Arc::from("/side/"), side),
        ];
        Ok(SiteConfig {
            version: SiteVersion(1),
            routes: RouteTable::new(vec![HostRoutes { host: Arc::from("h.example"), prefixes }]),
            services: vec![service("front"), service("back"), service("side")],
            limits: CallerLimits::default(),
            document: document.clone(),
        })
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn member(vm: &str, service_name: &str, zone: &str) -> Member {
    Member {
        vm: VmName::new(vm).unwrap(),
        incarnation: 1,
        service: service(service_name),
        zone: ZoneName::new(zone).unwrap(),
        addr: "127.0.0.1:7000".parse().unwrap(),
        report_addr: "127.0.0.1:7001".parse().unwrap(),
    }
}

fn record(vm: &str, service_name: &str, zone: &str) -> MemberRecord {
    MemberRecord {
        member: member(vm, service_name, zone),
        state: MemberState::Serving,
        terms: LeaseTerms { duration: Duration::ZERO, max_skew: Duration::ZERO },
        sent_at: Time::ZERO,
        slot_changes: Vec::new(),
        upstream: None,
    }
}

fn node() -> Node {
    let rank = Rank {
        name: RankName::new("first").unwrap(),
        target: Duration::from_secs(1),
        worth: 1.0,
        is_urgent: false,
    };
    let policy = Policy::new(Ranks::new(vec![rank]).unwrap(), vec![], vec![], Bounds::default());
    let mechanisms = Mechanisms { has_answer_watchdog: false, ..Mechanisms::default() };
    Node::new(NodeOptions {
        local_member: member("vm-1", "front", "zone-a"),
        initial_policy: Arc::new(policy.unwrap()),
        call_options: CallOptions::new().mechanisms(mechanisms).divides_capacity(false).seed(7),
        retention: Duration::MAX,
        seeds: Vec::new(),
        policy_source: Box::new(TestPolicySource),
    })
    .hosted("127.0.0.1:8000".parse().unwrap())
}

/// Drives a hosted node by inputs and returns its outputs.
pub(crate) struct HostedRun {
    node: Node,
    next_id: u64,
}

impl HostedRun {
    /// Creates a node that has read its configuration and knows both instances.
    pub(crate) fn new() -> Self {
        let mut run = Self { node: node(), next_id: 0 };
        run.handle(Input::SiteDocument(Bytes::from_static(b"1")));
        run.announce(&[(NEAR, "back", "zone-a"), (FAR, "back", "zone-b")]);
        run
    }

    /// Announces an instance of the service that serves [`SIDE`].
    pub(crate) fn announce_side(&mut self) {
        self.announce(&[("side-1", "side", "zone-a")]);
    }

    fn announce(&mut self, instances: &[(&str, &str, &str)]) {
        let members = instances.iter().map(|(vm, service, zone)| record(vm, service, zone));
        self.handle(Input::PeerMembers(members.collect()));
    }

    /// Passes an input to the node and returns its outputs.
    pub(crate) fn handle(&mut self, input: Input) -> Vec<Output> {
        self.handle_at(NOW, input)
    }

    /// Passes an input to the node at `now` and returns its outputs.
    pub(crate) fn handle_at(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(now, WALL, input, &mut out);
        out
    }

    /// Registers the local upstream by a heartbeat with `slots` slots.
    pub(crate) fn register_upstream(&mut self, slots: usize) {
        self.send_heartbeat(WALL, slots);
    }

    /// Passes a heartbeat in state `Ready` of the upstream that started at `started_at`, and
    /// returns the outputs.
    pub(crate) fn send_heartbeat(&mut self, started_at: WallTime, slots: usize) -> Vec<Output> {
        self.send_heartbeat_at(NOW, started_at, slots)
    }

    /// Passes a heartbeat in state `Ready` at `now`.
    pub(crate) fn send_heartbeat_at(
        &mut self,
        now: Time,
        started_at: WallTime,
        slots: usize,
    ) -> Vec<Output> {
        let heartbeat = Heartbeat {
            instance: InstanceName::new("i-1").unwrap(),
            started_at,
            sequence: 1,
            service: service("front"),
            addr: "127.0.0.1:8000".parse().unwrap(),
            slots,
            state: ReportedState::Ready,
            warmup_remaining: Duration::ZERO,
        };
        let mut out = Vec::new();
        self.node.handle_heartbeat(now, WALL, &heartbeat, &mut out).unwrap();
        out
    }

    /// Passes the deregistration of the upstream that started at `started_at`, and returns the
    /// outputs.
    pub(crate) fn deregister(&mut self, started_at: WallTime) -> Vec<Output> {
        let instance = InstanceName::new("i-1").unwrap();
        let deregistration = Deregistration { instance, started_at: Some(started_at) };
        let mut out = Vec::new();
        self.node.handle_deregistration(NOW, WALL, &deregistration, &mut out);
        out
    }

    /// Passes a record of the node's own VM, as the store holds it.
    pub(crate) fn read_local_record(&mut self, record: MemberRecord) -> Vec<Output> {
        self.handle(Input::StoredMembers(vec![record]))
    }

    /// The node.
    pub(crate) fn node(&self) -> &Node {
        &self.node
    }

    /// Passes a call of another node for the local upstream.
    pub(crate) fn receive_call(&mut self, deadline: Time) -> Vec<Output> {
        self.receive_call_at(NOW, deadline)
    }

    /// Passes a call of another node for the local upstream at `now`.
    pub(crate) fn receive_call_at(&mut self, now: Time, deadline: Time) -> Vec<Output> {
        self.receive_stated_call(now, deadline, None)
    }

    /// Passes a call of another node which states what that node has heard of the local upstream.
    pub(crate) fn receive_stated_call(
        &mut self,
        now: Time,
        deadline: Time,
        terms: Option<UpstreamTerms>,
    ) -> Vec<Output> {
        self.next_id += 1;
        let arrival = self.arrival(deadline, terms);
        self.handle_at(now, Input::CallArrived(arrival))
    }

    /// Passes a call whose time is over, which is refused.
    pub(crate) fn receive_late_call(&mut self, now: Time) -> Vec<Output> {
        let mut out = self.receive_call_at(now, now);
        out.extend(self.handle_at(now + Duration::from_secs(1), Input::Wake));
        out
    }

    /// Returns the limit that the local upstream names.
    pub(crate) fn named_limit(&mut self, now: Time) -> Option<CallRate> {
        self.node.status(now).named_limit
    }

    /// Passes a wake-up if the node has asked for one until `now`.
    pub(crate) fn wake_at(&mut self, now: Time) -> Vec<Output> {
        if self.node.next_wake() <= now { self.handle_at(now, Input::Wake) } else { Vec::new() }
    }

    fn arrival(&self, deadline: Time, terms: Option<UpstreamTerms>) -> Arrival {
        Arrival {
            reply_to: ReplyHandle { port: ReplyPort::Peers, id: self.next_id },
            origin: Origin::Peer {
                budget: RetryBudget::default(),
                depth: 0,
                admitted_share: Share::FULL,
                caller: Some(service("back")),
                terms,
            },
            service: service("front"),
            request_id: RequestId(u128::from(self.next_id)),
            rank: None,
            deadline: Some(deadline),
            idempotency: Idempotency::AtMostOnce,
            payload: Payload::default(),
        }
    }

    /// Passes a request for `path` from a caller.
    pub(crate) fn request(&mut self, path: &str) -> Vec<Output> {
        self.next_id += 1;
        self.handle(Input::RequestArrived(UnroutedRequest {
            reply_to: ReplyHandle { port: ReplyPort::Ingress, id: self.next_id },
            request_id: RequestId(u128::from(self.next_id)),
            host: Arc::from("h.example"),
            deadline: None,
            payload: Payload { target: Arc::from(path), ..Payload::default() },
        }))
    }

    /// Passes a request for `path`, and returns the call that the node must forward for it.
    pub(crate) fn forward(&mut self, path: &str) -> PeerCall {
        let out = self.request(path);
        forwarded_in(&out).unwrap_or_else(|| panic!("not forwarded: {out:?}"))
    }

    /// Answers a forwarded call, with a report of `load` at the other node's gate.
    pub(crate) fn answer(&mut self, call: &PeerCall, load: u16) -> Vec<Output> {
        let answer = Answer { status: 200, fields: Vec::new(), body: Bytes::new() };
        let report = GateReport { load, config_version: 1, ..GateReport::default() };
        let result = Ok((PeerOutcome::Answered(answer), report));
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Answers a forwarded call, with a report of `terms`.
    pub(crate) fn answer_with_terms(
        &mut self,
        call: &PeerCall,
        terms: Option<UpstreamTerms>,
    ) -> Vec<Output> {
        let answer = Answer { status: 200, fields: Vec::new(), body: Bytes::new() };
        let report = GateReport { config_version: 1, terms, ..GateReport::default() };
        let result = Ok((PeerOutcome::Answered(answer), report));
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Passes requests for `path` until one is forwarded to `vm`, and returns its call. The others
    /// stay in progress, which makes their instance costlier.
    pub(crate) fn forward_to(&mut self, path: &str, vm: &VmName) -> PeerCall {
        let calls = std::iter::repeat_with(|| self.forward(path));
        calls.take(100).find(|call| call.vm == *vm).expect("the instance is chosen")
    }

    /// Announces a new process of the node on `vm`.
    pub(crate) fn restart_member(&mut self, vm: &VmName) {
        let zone = if vm.as_str() == NEAR { "zone-a" } else { "zone-b" };
        let mut record = record(vm.as_str(), "back", zone);
        record.member.incarnation += 1;
        self.handle(Input::PeerMembers(vec![record]));
    }

    /// Refuses a forwarded call for `reason`, with a report of `load` at the other node's gate.
    pub(crate) fn refuse(&mut self, call: &PeerCall, reason: Refusal, load: u16) -> Vec<Output> {
        let outcome =
            PeerOutcome::NotRun { reason, retry_after: None, refused_by: call.vm.clone() };
        let report = GateReport { load, config_version: 1, ..GateReport::default() };
        let result = Ok((outcome, report));
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Ends a forwarded call by a fault of the connection.
    pub(crate) fn fail(&mut self, call: &PeerCall, fault: PeerFault) -> Vec<Output> {
        let result = Err(fault);
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Makes both instances report these loads, in parts of 1 024 of their limits.
    pub(crate) fn report_loads(&mut self, near: u16, far: u16) {
        let (first, second) = (self.forward(READ), self.forward(READ));
        assert_eq!(
            [first.vm.as_str(), second.vm.as_str()],
            [NEAR, NEAR],
            "the near instance is preferred"
        );
        self.answer(&first, 4_096);
        let third = self.forward(READ);
        assert_eq!(third.vm.as_str(), FAR, "the near instance is full");
        self.answer(&third, far);
        self.answer(&second, near);
    }
}

/// Returns the call that is forwarded to another node, if there is one.
pub(crate) fn forwarded_in(out: &[Output]) -> Option<PeerCall> {
    out.iter().find_map(|output| match output {
        Output::Send(call) => Some(call.clone()),
        _ => None,
    })
}

/// Returns the calls that are dispatched to the local upstream.
pub(crate) fn dispatched_in(out: &[Output]) -> Vec<CallKey> {
    let calls = out.iter().filter_map(|output| match output {
        Output::Dispatch { call, .. } => Some(*call),
        _ => None,
    });
    calls.collect()
}

/// Returns the reasons of the replies that refuse a call.
pub(crate) fn refusals_in(out: &[Output]) -> Vec<Refusal> {
    let reasons = out.iter().filter_map(|output| match output {
        Output::Reply { outcome: Outcome::NotRun(not_run), .. } => Some(not_run.reason()),
        _ => None,
    });
    reasons.collect()
}

/// Returns the report in the reply to another node, if there is one.
pub(crate) fn report_in(out: &[Output]) -> Option<GateReport> {
    out.iter().find_map(|output| match output {
        Output::Reply { report, .. } => Some(report.clone()),
        _ => None,
    })
}

/// Returns the member record that the node appends, if there is one.
pub(crate) fn record_in(out: &[Output]) -> Option<MemberRecord> {
    out.iter().find_map(|output| match output {
        Output::AppendMember(record) => Some(record.clone()),
        _ => None,
    })
}

/// Returns the outcome in the reply, if there is one.
pub(crate) fn outcome_in(out: &[Output]) -> Option<Outcome> {
    out.iter().find_map(|output| match output {
        Output::Reply { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

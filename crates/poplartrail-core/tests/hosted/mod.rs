//! A hosted node with two instances of another service, one in its own availability zone.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use poplartrail_core::{
    call::{Answer, Idempotency, Outcome, Payload, Refusal, RequestId, RetryBudget, Share},
    config::{Document, DocumentCheck, DocumentId},
    engine::{
        Arrival, CallOptions, ClusterState, Input, Mechanisms, Node, NodeOptions, Origin, Output,
        PeerCall, PeerFault, PeerOutcome, PolicySource, ReplyHandle, ReplyPort, UnroutedRequest,
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
    upstream::{Heartbeat, ReportedState},
};

/// VM of the instance in the node's own availability zone.
pub(crate) const NEAR: &str = "near-1";
/// VM of the instance in another one.
pub(crate) const FAR: &str = "far-1";
/// Path of requests that may run more than once.
pub(crate) const READ: &str = "/read/x";
/// Path of requests that may run at most once.
pub(crate) const BOOK: &str = "/book/x";

const NOW: Time = Time::from_millis(10);
const WALL: WallTime = WallTime::from_millis(1_800_000_000_000);

struct Source;

impl DocumentCheck for Source {
    fn check(
        &self,
        _before: &BTreeMap<DocumentId, Document>,
        _after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>> {
        Ok(())
    }
}

impl PolicySource for Source {
    fn policy(&self, _keeper: &ClusterState) -> Option<Policy> {
        None
    }

    fn site(&self, document: &Bytes) -> Result<SiteConfig, Arc<str>> {
        let rule = |name: &str, is_idempotent| RouteRule {
            name: RouteName::new(name).unwrap(),
            is_idempotent,
            services: vec![WeightedService { service: service("back"), weight: 1 }],
            timeout: Duration::from_secs(1),
            target_latency: Duration::from_millis(300),
            max_attempts: 2,
            priority: 1,
        };
        let prefixes = vec![
            (Arc::from("/read/"), rule("read", true)),
            (Arc::from("/book/"), rule("book", false)),
        ];
        Ok(SiteConfig {
            version: SiteVersion(1),
            routes: RouteTable::new(vec![HostRoutes { host: Arc::from("h.example"), prefixes }]),
            services: vec![service("front"), service("back")],
            limits: CallerLimits::default(),
            document: document.clone(),
        })
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn member(vm: &str, of: &str, zone: &str) -> Member {
    Member {
        vm: VmName::new(vm).unwrap(),
        incarnation: 1,
        service: service(of),
        zone: ZoneName::new(zone).unwrap(),
        addr: "127.0.0.1:7000".parse().unwrap(),
        report_addr: "127.0.0.1:7001".parse().unwrap(),
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
        policy_source: Box::new(Source),
    })
    .hosted("127.0.0.1:8000".parse().unwrap())
}

/// The node and its outputs.
pub(crate) struct HostedRun {
    node: Node,
    next: u64,
}

impl HostedRun {
    /// A node that has read its configuration and knows both instances.
    pub(crate) fn new() -> Self {
        let mut run = Self { node: node(), next: 0 };
        run.handle(Input::SiteDocument(Bytes::from_static(b"1")));
        let terms = LeaseTerms { duration: Duration::ZERO, max_skew: Duration::ZERO };
        let members = [(NEAR, "zone-a"), (FAR, "zone-b")].map(|(vm, zone)| MemberRecord {
            member: member(vm, "back", zone),
            state: MemberState::Serving,
            terms,
            sent_at: Time::ZERO,
            slots: Vec::new(),
        });
        run.handle(Input::PeerMembers(members.to_vec()));
        run
    }

    /// Takes in what happened and returns what is to be done.
    pub(crate) fn handle(&mut self, input: Input) -> Vec<Output> {
        self.handle_at(NOW, input)
    }

    /// Takes in what happened at `now`.
    pub(crate) fn handle_at(&mut self, now: Time, input: Input) -> Vec<Output> {
        let mut out = Vec::new();
        self.node.handle(now, WALL, input, &mut out);
        out
    }

    /// Makes the own upstream say that it runs `slots` requests at a time.
    pub(crate) fn open_upstream(&mut self, slots: usize) {
        let check_in = Heartbeat {
            instance: InstanceName::new("i-1").unwrap(),
            started_at: WALL,
            sequence: 1,
            service: service("front"),
            addr: "127.0.0.1:8000".parse().unwrap(),
            slots,
            state: ReportedState::Ready,
            warmup_remaining: Duration::ZERO,
        };
        self.node.handle_heartbeat(NOW, WALL, &check_in, &mut Vec::new()).unwrap();
    }

    /// A call of another node for the own upstream.
    pub(crate) fn arrive(&mut self, deadline: Time) -> Vec<Output> {
        self.next += 1;
        self.handle(Input::CallArrived(Arrival {
            reply_to: ReplyHandle { port: ReplyPort::Peers, id: self.next },
            origin: Origin::Peer {
                budget: RetryBudget::default(),
                depth: 0,
                admitted_share: Share::FULL,
                caller: Some(service("back")),
            },
            service: service("front"),
            request_id: RequestId(u128::from(self.next)),
            rank: None,
            deadline: Some(deadline),
            idempotency: Idempotency::AtMostOnce,
            payload: Payload::default(),
        }))
    }

    /// Sends a request for `path`.
    pub(crate) fn request(&mut self, path: &str) -> Vec<Output> {
        self.next += 1;
        self.handle(Input::RequestArrived(UnroutedRequest {
            reply_to: ReplyHandle { port: ReplyPort::Ingress, id: self.next },
            request_id: RequestId(u128::from(self.next)),
            host: Arc::from("h.example"),
            deadline: None,
            payload: Payload { target: Arc::from(path), ..Payload::default() },
        }))
    }

    /// Sends a request for `path`, which must go to another node.
    pub(crate) fn sent(&mut self, path: &str) -> PeerCall {
        let out = self.request(path);
        sent_in(&out).unwrap_or_else(|| panic!("not sent: {out:?}"))
    }

    /// Answers a call with the load of the gate that it passed.
    pub(crate) fn answer(&mut self, call: &PeerCall, load: u16) -> Vec<Output> {
        let answer = Answer { status: 200, fields: Vec::new(), body: Bytes::new() };
        let report = GateReport { load, config_version: 1, ..GateReport::default() };
        let result = Ok((PeerOutcome::Answered(answer), report));
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Refuses a call at the other node's gate.
    pub(crate) fn refuse(&mut self, call: &PeerCall, reason: Refusal, load: u16) -> Vec<Output> {
        let outcome = PeerOutcome::NotRun { reason, retry_after: None, by: call.vm.clone() };
        let report = GateReport { load, config_version: 1, ..GateReport::default() };
        let result = Ok((outcome, report));
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Fails a call on its way.
    pub(crate) fn fail(&mut self, call: &PeerCall, fault: PeerFault) -> Vec<Output> {
        let result = Err(fault);
        self.handle(Input::PeerDone { call: call.call, attempt: call.attempt, result })
    }

    /// Makes the instances report these loads.
    pub(crate) fn report_loads(&mut self, near: u16, far: u16) {
        let (first, second) = (self.sent(READ), self.sent(READ));
        assert_eq!([first.vm.as_str(), second.vm.as_str()], [NEAR, NEAR], "near comes first");
        self.answer(&first, 4_096);
        let third = self.sent(READ);
        assert_eq!(third.vm.as_str(), FAR, "near is full");
        self.answer(&third, far);
        self.answer(&second, near);
    }
}

/// The call that is sent to another node.
pub(crate) fn sent_in(out: &[Output]) -> Option<PeerCall> {
    out.iter().find_map(|output| match output {
        Output::Send(call) => Some(call.clone()),
        _ => None,
    })
}

/// What a caller is told.
pub(crate) fn told_in(out: &[Output]) -> Option<Outcome> {
    out.iter().find_map(|output| match output {
        Output::Reply { outcome, .. } => Some(outcome.clone()),
        _ => None,
    })
}

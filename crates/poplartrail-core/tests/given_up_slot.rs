//! A node that gave a slot up does not speak for it any longer.

use std::{sync::Arc, time::Duration};

use poplartrail_core::{
    call::{Doubt, Effect, Outcome, Payload, RequestId},
    config::{Document, DocumentCheck, DocumentId},
    engine::{
        Arrival, CallsOptions, Input, Keeper, LogBatch, LogRecord, Node, NodeOptions, Origin,
        Output, PolicySource, Port, Ticket,
    },
    keys::{IdempotencyKey, LeaseChange, LeaseTerms, Slot},
    member::{Member, MemberRecord, MemberState, SlotChange},
    names::{RankName, ServiceName, VmName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks, ServiceRule},
    time::{Time, WallTime},
};

const START: WallTime = WallTime::from_millis(1_800_000_000_000);

struct NoDocuments;

impl DocumentCheck for NoDocuments {
    fn check(
        &self,
        _before: &std::collections::BTreeMap<DocumentId, Document>,
        _after: &std::collections::BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>> {
        Ok(())
    }
}

impl PolicySource for NoDocuments {
    fn policy(&self, _keeper: &Keeper) -> Option<Policy> {
        None
    }
}

fn policy() -> Policy {
    let rank = Rank {
        name: RankName::new("only").unwrap(),
        target: Duration::from_secs(5),
        worth: 1.0,
        is_urgent: false,
    };
    let service = ServiceRule { name: service(), key_slots: 1, calls: Vec::new() };
    let zones = vec![ZoneName::new("zone-a").unwrap()];
    let ranks = Ranks::new(vec![rank]).unwrap();
    Policy::new(ranks, vec![service], zones, Bounds::default()).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("swaps").unwrap()
}

fn me() -> Member {
    let addr = "127.0.0.1:7000".parse().unwrap();
    Member {
        vm: VmName::new("swaps-a1").unwrap(),
        incarnation: 1,
        service: service(),
        zone: ZoneName::new("zone-a").unwrap(),
        addr,
        report: addr,
    }
}

fn log(offset: u64, after: Duration, change: LeaseChange) -> Input {
    let at = START + after;
    let terms = LeaseTerms { term: Duration::from_secs(60), skew: Duration::from_secs(2) };
    let body = MemberRecord {
        member: me(),
        state: MemberState::Serving,
        terms,
        sent: Time::ZERO,
        slots: vec![SlotChange { slot: Slot(0), change }],
    };
    let records = vec![LogRecord { offset, at, body }];
    let batch = LogBatch::Members { service: service(), oldest: (0, START), records };
    Input::Log { batch, log_now: at }
}

fn outcome_of(node: &mut Node, key: IdempotencyKey) -> Outcome {
    let ticket = Ticket { port: Port::Peers, id: 1 };
    let arrival = Arrival {
        ticket,
        origin: Origin::Peer { budget: Default::default(), depth: 1 },
        service: service(),
        request: RequestId(1),
        rank: Some(RankName::new("only").unwrap()),
        deadline: None,
        effect: Effect::Once(key),
        payload: Payload::default(),
    };
    let mut out = Vec::new();
    node.handle(Time::from_millis(20_000), START, Input::Arrive(arrival), &mut out);
    out.into_iter()
        .find_map(|output| match output {
            Output::Reply { outcome, .. } => Some(outcome),
            _ => None,
        })
        .expect("the call ends at once")
}

#[test]
fn says_unknown() {
    let mut node = Node::new(NodeOptions {
        me: me(),
        first_policy: Arc::new(policy()),
        calls: CallsOptions::new(),
        retention: Duration::from_secs(3600),
        seeds: Vec::new(),
        source: Box::new(NoDocuments),
    });
    node.serve();
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    node.handle(now, START, log(0, Duration::ZERO, LeaseChange::Claim), &mut out);
    let accepted = START;
    let release = LeaseChange::Release { accepted };
    node.handle(now, START, log(1, Duration::from_secs(5), release), &mut out);
    // The key was minted after the release; its new holder may have run it.
    let key = IdempotencyKey::mint(START + Duration::from_secs(10), 7);
    match outcome_of(&mut node, key) {
        Outcome::Unknown(unknown) => assert_eq!(unknown.doubt, Doubt::HomeUnreachable),
        other => panic!("{other:?}"),
    }
}

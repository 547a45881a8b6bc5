//! A node that has released a key slot does not answer for its keys any more.

use std::{sync::Arc, time::Duration};

use poplartrail_core::{
    call::{Idempotency, Outcome, Payload, RequestId, Share, UnknownReason},
    engine::{
        Arrival, CallOptions, FixedPolicy, Input, LogBatch, LogRecord, Node, NodeOptions, Origin,
        Output, ReplyHandle, ReplyPort,
    },
    keys::{IdempotencyKey, KeySlot, LeaseChange, LeaseTerms},
    member::{Member, MemberRecord, MemberState, SlotChange},
    names::{RankName, ServiceName, VmName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks, ServiceRule},
    time::{Time, WallTime},
};

const START: WallTime = WallTime::from_millis(1_800_000_000_000);

fn policy(key_slots: u16) -> Policy {
    let rank = Rank {
        name: RankName::new("only").unwrap(),
        target: Duration::from_secs(5),
        worth: 1.0,
        is_urgent: false,
    };
    let service = ServiceRule { name: service(), key_slots, callees: Vec::new() };
    let zones = vec![ZoneName::new("zone-a").unwrap()];
    let ranks = Ranks::new(vec![rank]).unwrap();
    Policy::new(ranks, vec![service], zones, Bounds::default()).unwrap()
}

fn service() -> ServiceName {
    ServiceName::new("swaps").unwrap()
}

fn member(vm: &str, addr: &str) -> MemberRecord {
    let addr = addr.parse().unwrap();
    let member = Member {
        vm: VmName::new(vm).unwrap(),
        incarnation: 1,
        service: service(),
        zone: ZoneName::new("zone-a").unwrap(),
        addr,
        report_addr: addr,
    };
    let terms = LeaseTerms { duration: Duration::from_secs(60), max_skew: Duration::from_secs(2) };
    let (state, sent_at) = (MemberState::Serving, Time::ZERO);
    MemberRecord { member, state, terms, sent_at, slot_changes: Vec::new(), upstream: None }
}

fn local_member() -> Member {
    member("swaps-a1", "127.0.0.1:7000").member
}

fn log_input(offset: u64, after: Duration, lease_change: LeaseChange) -> Input {
    let at = START + after;
    let mut body = member("swaps-a1", "127.0.0.1:7000");
    body.slot_changes.push(SlotChange { slot: KeySlot(0), lease_change });
    let records = vec![LogRecord { offset, at, body }];
    let batch = LogBatch::Members { service: service(), oldest: (0, START), records };
    Input::LogRead { batch, log_now: at }
}

fn send_call(node: &mut Node, origin: Origin, key: IdempotencyKey) -> Vec<Output> {
    let reply_to = ReplyHandle { port: ReplyPort::Peers, id: 1 };
    let arrival = Arrival {
        reply_to,
        origin,
        service: service(),
        request_id: RequestId(1),
        rank: Some(RankName::new("only").unwrap()),
        deadline: None,
        idempotency: Idempotency::Keyed(key),
        payload: Payload::default(),
    };
    let mut out = Vec::new();
    node.handle(Time::from_millis(20_000), START, Input::CallArrived(arrival), &mut out);
    out
}

fn outcome_of(out: Vec<Output>) -> Outcome {
    out.into_iter()
        .find_map(|output| match output {
            Output::Reply { outcome, .. } => Some(outcome),
            _ => None,
        })
        .expect("the call ends at once")
}

fn node(key_slots: u16) -> Node {
    let mut node = Node::new(NodeOptions {
        local_member: local_member(),
        initial_policy: Arc::new(policy(key_slots)),
        call_options: CallOptions::new(),
        retention: Duration::from_secs(3600),
        seeds: Vec::new(),
        policy_source: Box::new(FixedPolicy),
    });
    node.serve();
    node
}

/// Creates a node that claimed its key slot at the start and released it after 5 s.
fn former_holder() -> Node {
    let mut node = node(1);
    let mut out = Vec::new();
    let now = Time::from_millis(1);
    node.handle(now, START, log_input(0, Duration::ZERO, LeaseChange::Claim), &mut out);
    let release = LeaseChange::Release { last_accepted: START };
    node.handle(now, START, log_input(1, Duration::from_secs(5), release), &mut out);
    node
}

/// Mints a key after the release of the slot; its new holder may have run it.
fn later_key() -> IdempotencyKey {
    IdempotencyKey::mint(START + Duration::from_secs(10), 7)
}

#[test]
fn peer_call_is_unknown() {
    let mut node = former_holder();
    let origin = Origin::Peer {
        budget: Default::default(),
        depth: 1,
        admitted_share: Share::FULL,
        caller: None,
        terms: None,
    };
    match outcome_of(send_call(&mut node, origin, later_key())) {
        Outcome::Unknown(unknown) => assert_eq!(unknown.reason, UnknownReason::HomeUnreachable),
        other => panic!("{other:?}"),
    }
}

/// The claim of the next holder is in a part of the log that cannot be read, so the node asks the
/// other members for it.
#[test]
fn unknown_holder_is_asked_for() {
    let mut node = former_holder();
    let origin = Origin::Caller { has_request_id: false };
    let mut next = member("swaps-a2", "127.0.0.1:7001");
    next.slot_changes.clear();
    let membership = Input::PeerMembers(vec![next.clone()]);
    node.handle(Time::from_millis(2), START, membership, &mut Vec::new());
    let out = send_call(&mut node, origin.clone(), later_key());
    assert!(
        out.iter().any(|o| matches!(o, Output::AskMembers { vm, .. } if *vm == next.member.vm))
    );
    assert!(matches!(outcome_of(out), Outcome::Unknown(_)));

    next.slot_changes.push(SlotChange { slot: KeySlot(0), lease_change: LeaseChange::Renew });
    let membership = Input::PeerMembers(vec![next.clone()]);
    node.handle(Time::from_millis(3), START, membership, &mut Vec::new());
    let out = send_call(&mut node, origin, later_key());
    assert!(out.iter().any(|o| matches!(o, Output::Send(send) if send.vm == next.member.vm)));
}

/// When the log is available again after every lease has expired, nodes do not contend for the same
/// slots.
#[test]
fn former_slots_are_claimed_again() {
    let mut node = node(8);
    let mut claims = member("swaps-a1", "127.0.0.1:7000");
    let former_slots = [1, 3, 5, 7].map(KeySlot);
    claims.slot_changes =
        former_slots.map(|slot| SlotChange { slot, lease_change: LeaseChange::Claim }).into();
    let heartbeats = [("swaps-a1", "127.0.0.1:7000"), ("swaps-a2", "127.0.0.1:7001")];
    let later = Duration::from_secs(120);
    let heartbeats = heartbeats.map(|(vm, addr)| (later, member(vm, addr)));
    let records = [(Duration::ZERO, claims)].into_iter().chain(heartbeats).zip(0..);
    let records = records
        .map(|((after, body), offset)| LogRecord { offset, at: START + after, body })
        .collect();
    let batch = LogBatch::Members { service: service(), oldest: (0, START), records };
    let now = Time::from_millis(120_000);
    let mut out = Vec::new();
    node.handle(now, START + later, Input::LogRead { batch, log_now: START + later }, &mut out);
    node.handle(now, START + later, Input::Wake, &mut out);
    let claimed: Vec<KeySlot> = out
        .iter()
        .filter_map(|output| match output {
            Output::AppendMember(record) => Some(&record.slot_changes),
            _ => None,
        })
        .flatten()
        .filter(|change| change.lease_change == LeaseChange::Claim)
        .map(|change| change.slot)
        .collect();
    assert_eq!(claimed, former_slots);
}

//! Simulation of keyed calls under random interleavings of failures: each key runs at most once.
//!
//! Four nodes in two availability zones run in virtual time. Links, the log and the upstreams are
//! simulated by a queue of events. The test counts what the upstreams run, and compares it with the
//! outcomes that callers get.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use poplartrail_core::{
    call::{Answer, Idempotency, Outcome, Payload, Refusal, RequestId},
    engine::{
        Arrival, CallKey, CallOptions, FixedPolicy, Input, LogBatch, LogRecord, Mechanisms, Node,
        NodeOptions, Origin, Output, PeerCall, PeerFault, ReplyHandle, ReplyPort, UpstreamFault,
    },
    keys::IdempotencyKey,
    member::{Member, MemberRecord},
    names::{RankName, ServiceName, VmName, ZoneName},
    policy::{Bounds, Policy, Rank, Ranks, ServiceRule},
    route::GateReport,
    time::{Time, WallTime},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use test_case::test_case;

const START: WallTime = WallTime::from_millis(1_800_000_000_000);
const NODES: usize = 4;
/// Virtual duration of one simulated history.
const HISTORY_LENGTH: Duration = Duration::from_secs(30);
/// Mean time between two reads of the log by a node.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which a node learns that a message was lost.
const LOSS_TIMEOUT: Duration = Duration::from_millis(300);
/// Upper bound of the skew of a node's clock, in milliseconds; within the skew that the policy
/// allows.
const MAX_SKEW_MS: u64 = 200;

fn service() -> ServiceName {
    ServiceName::new("swaps").unwrap()
}

fn zone(node: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", node % 2)).unwrap()
}

fn policy() -> Policy {
    let rank = Rank {
        name: RankName::new("only").unwrap(),
        target: Duration::from_secs(2),
        worth: 1.0,
        is_urgent: false,
    };
    let bounds = Bounds::builder()
        .lease(Duration::from_secs(4))
        .key_window(Duration::from_secs(60))
        .clock_skew(Duration::from_millis(500))
        .build()
        .unwrap();
    let rule = ServiceRule { name: service(), key_slots: 2, callees: Vec::new() };
    Policy::new(Ranks::new(vec![rank]).unwrap(), vec![rule], vec![zone(0), zone(1)], bounds)
        .unwrap()
}

enum Event {
    /// A node checks its timers, and may read the log.
    Tick(usize),
    /// An input reaches a node, unless the node has restarted since `incarnation`.
    Input { node: usize, incarnation: u64, input: Box<Input> },
    /// A record reaches the log.
    Append(MemberRecord),
    /// A caller sends a call.
    Call,
    /// A random failure begins.
    Fault,
}

/// Recipient of a reply.
#[derive(Clone, Copy)]
enum Waiter {
    Caller(IdempotencyKey),
    Peer { node: usize, incarnation: u64, call: CallKey, attempt: u32, key: IdempotencyKey },
}

struct Host {
    node: Node,
    incarnation: u64,
    paused_until: Time,
    skew: Duration,
    read: usize,
}

struct World {
    now: Time,
    hosts: Vec<Host>,
    log: Vec<LogRecord<MemberRecord>>,
    log_down_until: Time,
    partitioned_until: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    event_number: u64,
    waiters: HashMap<ReplyHandle, Waiter>,
    keys: Vec<IdempotencyKey>,
    runs: HashMap<IdempotencyKey, u32>,
    answers: HashMap<IdempotencyKey, Bytes>,
    violations: Vec<String>,
    answered: u64,
    mechanisms: Mechanisms,
    random: SmallRng,
}

impl World {
    fn new(seed: u64, mechanisms: Mechanisms) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            hosts: Vec::new(),
            log: Vec::new(),
            log_down_until: Time::ZERO,
            partitioned_until: Time::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            event_number: 0,
            waiters: HashMap::new(),
            keys: Vec::new(),
            runs: HashMap::new(),
            answers: HashMap::new(),
            violations: Vec::new(),
            answered: 0,
            mechanisms,
            random: SmallRng::seed_from_u64(seed),
        };
        for node in 0..NODES {
            let host = world.host(node, 1);
            world.hosts.push(host);
            world.schedule(Duration::ZERO, Event::Tick(node));
        }
        world.schedule(Duration::from_secs(3), Event::Call);
        world.schedule(Duration::from_secs(4), Event::Fault);
        world
    }

    fn host(&mut self, node: usize, incarnation: u64) -> Host {
        let addr = SocketAddr::from(([127, 0, 0, 1], node as u16 + 1));
        let local_member = Member {
            vm: VmName::new(format!("vm-{node}")).unwrap(),
            incarnation,
            service: service(),
            zone: zone(node),
            addr,
            report_addr: addr,
        };
        let call_options =
            CallOptions::new().mechanisms(self.mechanisms).seed(self.random.random());
        let mut started = Node::new(NodeOptions {
            local_member,
            initial_policy: Arc::new(policy()),
            call_options,
            retention: Duration::from_secs(3600),
            seeds: Vec::new(),
            policy_source: Box::new(FixedPolicy),
        });
        started.serve();
        let skew = Duration::from_millis(self.random.random_range(0..MAX_SKEW_MS));
        Host { node: started, incarnation, paused_until: Time::ZERO, skew, read: 0 }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.event_number += 1;
        self.events.insert(self.event_number, event);
        self.queue.push(Reverse((self.now + wait, self.event_number)));
    }

    fn millis(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..until))
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.random.random::<f64>() < probability
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        self.now < self.partitioned_until && zone(a) != zone(b)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, event_number))) = self.queue.pop() {
            if at.since(Time::ZERO) > HISTORY_LENGTH {
                break;
            }
            self.now = at;
            match self.events.remove(&event_number) {
                Some(Event::Tick(node)) => self.tick(node),
                Some(Event::Input { node, incarnation, input }) => {
                    self.deliver(node, incarnation, input);
                }
                Some(Event::Append(record)) => self.append(record),
                Some(Event::Call) => self.call(),
                Some(Event::Fault) => self.inject_fault(),
                None => {}
            }
        }
        self
    }

    fn tick(&mut self, node: usize) {
        let wait = self.millis(20, 120);
        self.schedule(wait, Event::Tick(node));
        if self.now < self.hosts[node].paused_until {
            return;
        }
        if self.now >= self.hosts[node].node.next_wake() {
            self.handle(node, Input::Wake);
        }
        let is_due = self.chance(wait.as_secs_f64() / LOG_POLL_INTERVAL.as_secs_f64());
        if is_due && self.now >= self.log_down_until {
            self.read_log(node);
        }
    }

    fn log_time(&self) -> WallTime {
        START + self.now.since(Time::ZERO)
    }

    fn read_log(&mut self, node: usize) {
        let records = self.log[self.hosts[node].read..].to_vec();
        self.hosts[node].read = self.log.len();
        let batch = LogBatch::Members { service: service(), oldest: (0, START), records };
        let log_now = self.log_time();
        self.handle(node, Input::LogRead { batch, log_now });
    }

    fn append(&mut self, record: MemberRecord) {
        if self.now < self.log_down_until {
            return;
        }
        let (offset, at) = (self.log.len() as u64, self.log_time());
        self.log.push(LogRecord { offset, at, body: record });
    }

    fn deliver(&mut self, node: usize, incarnation: u64, input: Box<Input>) {
        let host = &self.hosts[node];
        if host.incarnation != incarnation {
            return;
        }
        if self.now < host.paused_until {
            let wait = host.paused_until.since(self.now) + Duration::from_millis(1);
            return self.schedule(wait, Event::Input { node, incarnation, input });
        }
        self.handle(node, *input);
    }

    fn schedule_input(&mut self, wait: Duration, node: usize, input: Input) {
        let incarnation = self.hosts[node].incarnation;
        self.schedule(wait, Event::Input { node, incarnation, input: Box::new(input) });
    }

    fn handle(&mut self, node: usize, input: Input) {
        let host = &mut self.hosts[node];
        let wall = START + self.now.since(Time::ZERO) + host.skew;
        let mut out = Vec::new();
        host.node.handle(self.now, wall, input, &mut out);
        for output in out {
            self.handle_output(node, output);
        }
    }

    fn handle_output(&mut self, node: usize, output: Output) {
        match output {
            Output::AppendMember(record) => {
                let wait = self.millis(5, 400);
                // The log may store a record twice if its first response was lost.
                if self.chance(0.1) {
                    let again = wait + self.millis(5, 3_000);
                    self.schedule(again, Event::Append(record.clone()));
                }
                self.schedule(wait, Event::Append(record));
            }
            Output::Dispatch { call, context, .. } => self.execute(node, call, context.idempotency),
            Output::Send(send) => self.send(node, send),
            Output::AskMembers { addr, local_record, .. } => {
                let other = usize::from(addr.port()) - 1;
                if !self.is_partitioned(node, other) {
                    let known = self.hosts[other].node.cluster().members();
                    self.schedule_input(
                        Duration::from_millis(2),
                        other,
                        Input::PeerMembers(vec![local_record]),
                    );
                    self.schedule_input(Duration::from_millis(4), node, Input::PeerMembers(known));
                }
            }
            Output::Reply { reply_to, outcome, report } => {
                self.reply(node, reply_to, outcome, report);
            }
            _ => {}
        }
    }

    fn send(&mut self, node: usize, send: PeerCall) {
        let PeerCall { call, attempt, addr, .. } = send;
        let other = usize::from(addr.port()) - 1;
        if self.is_partitioned(node, other) || self.chance(0.03) {
            let result = Err(PeerFault::Lost);
            return self.schedule_input(
                LOSS_TIMEOUT,
                node,
                Input::PeerDone { call, attempt, result },
            );
        }
        let key = send.context.idempotency.key().expect("every call has a key");
        let incarnation = self.hosts[node].incarnation;
        let waiter = Waiter::Peer { node, incarnation, call, attempt, key };
        let reply_to = self.reply_to(ReplyPort::Peers, waiter);
        let wait = self.millis(1, 30);
        self.schedule_input(wait, other, Input::CallArrived(send.into_arrival(reply_to)));
    }

    fn reply_to(&mut self, port: ReplyPort, waiter: Waiter) -> ReplyHandle {
        self.event_number += 1;
        let reply_to = ReplyHandle { port, id: self.event_number };
        self.waiters.insert(reply_to, waiter);
        reply_to
    }

    /// Runs a call in the upstream, which completes it even if the node restarts meanwhile.
    fn execute(&mut self, node: usize, call: CallKey, idempotency: Idempotency) {
        let key = idempotency.key().expect("every call has a key");
        let run = self.runs.entry(key).or_default();
        *run += 1;
        let body = Bytes::from(format!("{} run {run}", key.bits()));
        let answer = Answer { status: 200, fields: Vec::new(), body };
        let result = if self.chance(0.1) { Err(UpstreamFault::Lost) } else { Ok(answer) };
        let wait = self.millis(1, 600);
        self.schedule_input(wait, node, Input::UpstreamDone { call, result, notice: None });
    }

    fn reply(&mut self, node: usize, reply_to: ReplyHandle, outcome: Outcome, report: GateReport) {
        let Some(waiter) = self.waiters.remove(&reply_to) else { return };
        let (Waiter::Caller(key) | Waiter::Peer { key, .. }) = waiter;
        self.check_outcome(node, key, &outcome);
        let Waiter::Peer { node: from, incarnation, call, attempt, .. } = waiter else { return };
        let result = if self.is_partitioned(node, from) || self.chance(0.03) {
            Err(PeerFault::Lost)
        } else {
            Ok((outcome.into(), report))
        };
        let wait = if result.is_err() { LOSS_TIMEOUT } else { self.millis(1, 30) };
        let input = Box::new(Input::PeerDone { call, attempt, result });
        self.schedule(wait, Event::Input { node: from, incarnation, input });
    }

    /// Checks an outcome against what the upstreams have run.
    fn check_outcome(&mut self, node: usize, key: IdempotencyKey, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(not_run) => {
                let is_own_refusal =
                    *not_run.refused_by() == self.hosts[node].node.local_member().vm;
                let is_other_request = not_run.reason() == Refusal::KeyReused;
                if is_own_refusal && !is_other_request && self.runs.contains_key(&key) {
                    let reason = not_run.reason();
                    self.violations.push(format!(
                        "reported as not run: {key:?} at {:?}: {reason:?}",
                        self.now
                    ));
                }
            }
            Outcome::Answered(answer) => {
                self.answered += 1;
                let first = self.answers.entry(key).or_insert_with(|| answer.body.clone());
                if *first != answer.body {
                    self.violations.push(format!("two different answers for {key:?}"));
                }
            }
            Outcome::Unknown(_) => {}
        }
    }

    fn call(&mut self) {
        let wait = self.millis(5, 60);
        self.schedule(wait, Event::Call);
        let node = self.random.random_range(0..NODES);
        let key = match self.keys.len() {
            len if len > 0 && self.chance(0.7) => {
                // Repeats a recent key, as callers do when they got no answer.
                let age = self.random.random_range(0..len.min(12));
                self.keys[len - 1 - age]
            }
            _ => match self.new_key(node) {
                Some(key) => key,
                None => return,
            },
        };
        let reply_to = self.reply_to(ReplyPort::Ingress, Waiter::Caller(key));
        let arrival = Arrival {
            reply_to,
            origin: Origin::Caller { has_request_id: false },
            service: service(),
            request_id: RequestId(self.random.random()),
            rank: None,
            deadline: None,
            idempotency: Idempotency::Keyed(key),
            payload: Payload::default(),
        };
        self.schedule_input(Duration::ZERO, node, Input::CallArrived(arrival));
    }

    fn new_key(&mut self, node: usize) -> Option<IdempotencyKey> {
        let wall_now = START + self.now.since(Time::ZERO);
        let hour = Duration::from_secs(3600);
        let key = match self.random.random_range(0..10) {
            // Keys minted by a caller's own clock: an hour ahead, behind, or nearly right.
            0 => Some(IdempotencyKey::mint(wall_now + hour, self.random.random())),
            1 => Some(IdempotencyKey::mint(START, self.random.random())),
            2 | 3 => Some(IdempotencyKey::mint(wall_now, self.random.random())),
            _ if self.now < self.hosts[node].paused_until => None,
            _ => {
                let host = &mut self.hosts[node];
                host.node.mint_key(wall_now + host.skew)
            }
        };
        self.keys.extend(key);
        key
    }

    fn inject_fault(&mut self) {
        let wait = self.millis(300, 3_000);
        self.schedule(wait, Event::Fault);
        let node = self.random.random_range(0..NODES);
        let length = self.millis(200, 9_000);
        match self.random.random_range(0..4) {
            0 => self.hosts[node].paused_until = self.now + length,
            1 => {
                let incarnation = self.hosts[node].incarnation + 1;
                self.hosts[node] = self.host(node, incarnation);
                self.hosts[node].paused_until = self.now + length / 4;
            }
            2 => self.log_down_until = self.now + length,
            _ => self.partitioned_until = self.now + length,
        }
    }
}

/// Simulates a history for each seed, and returns the number of keys that ran, the number of
/// answers, and the violations.
fn histories(seeds: std::ops::Range<u64>, mechanisms: Mechanisms) -> (usize, u64, Vec<String>) {
    let (mut keys_run, mut answered, mut wrong) = (0, 0, Vec::new());
    for seed in seeds {
        let world = World::new(seed, mechanisms).run();
        keys_run += world.runs.len();
        answered += world.answered;
        wrong.extend(world.violations.iter().map(|violation| format!("seed {seed}: {violation}")));
        let twice: HashSet<_> = world.runs.iter().filter(|(_, runs)| **runs > 1).collect();
        wrong.extend(
            twice.iter().map(|(key, runs)| format!("seed {seed}: {key:?} ran {runs} times")),
        );
    }
    (keys_run, answered, wrong)
}

#[test_case(0; "first seeds")]
#[test_case(1; "second seeds")]
#[test_case(2; "third seeds")]
#[test_case(3; "fourth seeds")]
fn at_most_once(part: u64) {
    let seeds = part * HISTORIES..(part + 1) * HISTORIES;
    let (keys_run, answered, wrong) = histories(seeds, Mechanisms::default());
    println!("{keys_run} keys ran, {answered} answers");
    assert!(wrong.is_empty(), "{} wrong, first {:?}", wrong.len(), wrong.first());
    assert!(keys_run as u64 > HISTORIES * 50, "too few keys ran to prove anything: {keys_run}");
}

/// Histories that each test simulates.
const HISTORIES: u64 = 250;

#[test]
fn runs_twice_without_ledger() {
    let without = Mechanisms { has_deduplication: false, ..Mechanisms::default() };
    let (_, _, wrong) = histories(0..3, without);
    assert!(!wrong.is_empty(), "no key ran twice, so the histories do not test the ledger");
}

//! At most one run of a key under random interleavings of failures.
//!
//! Four nodes in two availability zones, with links, a log and upstreams that are no more than
//! queues of events in virtual time. The count of what the upstreams ran is the judge.

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
/// Virtual length of a history.
const LENGTH: Duration = Duration::from_secs(30);
/// Time between two looks of a node at the log.
const POLL: Duration = Duration::from_millis(200);
/// Time after which a node takes a message that vanished for lost.
const SILENCE: Duration = Duration::from_millis(300);
/// Greatest difference of a node's clock, within the bound of the policy.
const SKEW_MS: u64 = 200;

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
    /// A node looks at its timers and the log.
    Turn(usize),
    /// An input reaches the start `incarnation` of a node.
    Input { node: usize, incarnation: u64, input: Box<Input> },
    /// A record reaches the log.
    Append(MemberRecord),
    /// A caller sends a call.
    Call,
    /// Something goes wrong.
    Fault,
}

/// Who waits for a ticket.
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
    cut_until: Time,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: HashMap<u64, Event>,
    number: u64,
    waiters: HashMap<ReplyHandle, Waiter>,
    keys: Vec<IdempotencyKey>,
    runs: HashMap<IdempotencyKey, u32>,
    answers: HashMap<IdempotencyKey, Bytes>,
    lies: Vec<String>,
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
            cut_until: Time::ZERO,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            number: 0,
            waiters: HashMap::new(),
            keys: Vec::new(),
            runs: HashMap::new(),
            answers: HashMap::new(),
            lies: Vec::new(),
            answered: 0,
            mechanisms,
            random: SmallRng::seed_from_u64(seed),
        };
        for node in 0..NODES {
            let host = world.host(node, 1);
            world.hosts.push(host);
            world.plan(Duration::ZERO, Event::Turn(node));
        }
        world.plan(Duration::from_secs(3), Event::Call);
        world.plan(Duration::from_secs(4), Event::Fault);
        world
    }

    fn host(&mut self, node: usize, incarnation: u64) -> Host {
        let addr = SocketAddr::from(([127, 0, 0, 1], node as u16 + 1));
        let me = Member {
            vm: VmName::new(format!("vm-{node}")).unwrap(),
            incarnation,
            service: service(),
            zone: zone(node),
            addr,
            report_addr: addr,
        };
        let calls = CallOptions::new().mechanisms(self.mechanisms).seed(self.random.random());
        let mut started = Node::new(NodeOptions {
            local_member: me,
            initial_policy: Arc::new(policy()),
            call_options: calls,
            retention: Duration::from_secs(3600),
            seeds: Vec::new(),
            policy_source: Box::new(FixedPolicy),
        });
        started.serve();
        let skew = Duration::from_millis(self.random.random_range(0..SKEW_MS));
        Host { node: started, incarnation, paused_until: Time::ZERO, skew, read: 0 }
    }

    fn plan(&mut self, wait: Duration, event: Event) {
        self.number += 1;
        self.events.insert(self.number, event);
        self.queue.push(Reverse((self.now + wait, self.number)));
    }

    fn millis(&mut self, from: u64, until: u64) -> Duration {
        Duration::from_millis(self.random.random_range(from..until))
    }

    fn chance(&mut self, part: f64) -> bool {
        self.random.random::<f64>() < part
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        self.now < self.cut_until && zone(a) != zone(b)
    }

    fn run(mut self) -> Self {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at.since(Time::ZERO) > LENGTH {
                break;
            }
            self.now = at;
            match self.events.remove(&number) {
                Some(Event::Turn(node)) => self.turn(node),
                Some(Event::Input { node, incarnation, input }) => {
                    self.deliver(node, incarnation, input);
                }
                Some(Event::Append(record)) => self.append(record),
                Some(Event::Call) => self.call(),
                Some(Event::Fault) => self.fault(),
                None => {}
            }
        }
        self
    }

    fn turn(&mut self, node: usize) {
        let wait = self.millis(20, 120);
        self.plan(wait, Event::Turn(node));
        if self.now < self.hosts[node].paused_until {
            return;
        }
        if self.now >= self.hosts[node].node.next_wake() {
            self.handle(node, Input::Wake);
        }
        let is_due = self.chance(wait.as_secs_f64() / POLL.as_secs_f64());
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
        self.handle(node, Input::Log { batch, log_now });
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
            return self.plan(wait, Event::Input { node, incarnation, input });
        }
        self.handle(node, *input);
    }

    fn later(&mut self, wait: Duration, node: usize, input: Input) {
        let incarnation = self.hosts[node].incarnation;
        self.plan(wait, Event::Input { node, incarnation, input: Box::new(input) });
    }

    fn handle(&mut self, node: usize, input: Input) {
        let host = &mut self.hosts[node];
        let wall = START + self.now.since(Time::ZERO) + host.skew;
        let mut out = Vec::new();
        host.node.handle(self.now, wall, input, &mut out);
        for output in out {
            self.carry(node, output);
        }
    }

    fn carry(&mut self, node: usize, output: Output) {
        match output {
            Output::AppendMember(record) => {
                let wait = self.millis(5, 400);
                // The log may take a record twice when its first answer was lost.
                if self.chance(0.1) {
                    let again = wait + self.millis(5, 3_000);
                    self.plan(again, Event::Append(record.clone()));
                }
                self.plan(wait, Event::Append(record));
            }
            Output::Dispatch { call, context, .. } => self.work(node, call, context.idempotency),
            Output::Send(send) => self.send(node, send),
            Output::AskMembers { addr: to, local_record: own, .. } => {
                let other = usize::from(to.port()) - 1;
                if !self.is_cut(node, other) {
                    let known = self.hosts[other].node.cluster().members();
                    self.later(Duration::from_millis(2), other, Input::PeerMembers(vec![own]));
                    self.later(Duration::from_millis(4), node, Input::PeerMembers(known));
                }
            }
            Output::Reply { reply_to: ticket, outcome, report } => {
                self.reply(node, ticket, outcome, report);
            }
            _ => {}
        }
    }

    fn send(&mut self, node: usize, send: PeerCall) {
        let PeerCall { call, attempt, addr: to, .. } = send;
        let other = usize::from(to.port()) - 1;
        if self.is_cut(node, other) || self.chance(0.03) {
            let result = Err(PeerFault::Lost);
            return self.later(SILENCE, node, Input::PeerDone { call, attempt, result });
        }
        let key = send.context.idempotency.key().expect("every call has a key");
        let incarnation = self.hosts[node].incarnation;
        let waiter = Waiter::Peer { node, incarnation, call, attempt, key };
        let ticket = self.ticket(ReplyPort::Peers, waiter);
        let wait = self.millis(1, 30);
        self.later(wait, other, Input::CallArrived(send.into_arrival(ticket)));
    }

    fn ticket(&mut self, port: ReplyPort, waiter: Waiter) -> ReplyHandle {
        self.number += 1;
        let ticket = ReplyHandle { port, id: self.number };
        self.waiters.insert(ticket, waiter);
        ticket
    }

    /// The upstream runs a call whatever becomes of its node.
    fn work(&mut self, node: usize, call: CallKey, effect: Idempotency) {
        let key = effect.key().expect("every call has a key");
        let run = self.runs.entry(key).or_default();
        *run += 1;
        let body = Bytes::from(format!("{} run {run}", key.bits()));
        let answer = Answer { status: 200, fields: Vec::new(), body };
        let result = if self.chance(0.1) { Err(UpstreamFault::Lost) } else { Ok(answer) };
        let wait = self.millis(1, 600);
        self.later(wait, node, Input::UpstreamDone { call, result });
    }

    fn reply(&mut self, node: usize, ticket: ReplyHandle, outcome: Outcome, report: GateReport) {
        let Some(waiter) = self.waiters.remove(&ticket) else { return };
        let (Waiter::Caller(key) | Waiter::Peer { key, .. }) = waiter;
        self.judge(node, key, &outcome);
        let Waiter::Peer { node: from, incarnation, call, attempt, .. } = waiter else { return };
        let result = if self.is_cut(node, from) || self.chance(0.03) {
            Err(PeerFault::Lost)
        } else {
            Ok((outcome.into(), report))
        };
        let wait = if result.is_err() { SILENCE } else { self.millis(1, 30) };
        let input = Box::new(Input::PeerDone { call, attempt, result });
        self.plan(wait, Event::Input { node: from, incarnation, input });
    }

    /// Compares what is told with what ran.
    fn judge(&mut self, node: usize, key: IdempotencyKey, outcome: &Outcome) {
        match outcome {
            Outcome::NotRun(not_run) => {
                let decides = *not_run.refused_by() == self.hosts[node].node.local_member().vm;
                let is_other = not_run.reason() == Refusal::KeyReused;
                if decides && !is_other && self.runs.contains_key(&key) {
                    let why = not_run.reason();
                    self.lies.push(format!("not run {key:?} at {:?}: {why:?}", self.now));
                }
            }
            Outcome::Answered(answer) => {
                self.answered += 1;
                let first = self.answers.entry(key).or_insert_with(|| answer.body.clone());
                if *first != answer.body {
                    self.lies.push(format!("two answers for {key:?}"));
                }
            }
            Outcome::Unknown(_) => {}
        }
    }

    fn call(&mut self) {
        let wait = self.millis(5, 60);
        self.plan(wait, Event::Call);
        let node = self.random.random_range(0..NODES);
        let key = match self.keys.len() {
            len if len > 0 && self.chance(0.7) => {
                // Mostly a recent one, as callers repeat what they got no answer for.
                let back = self.random.random_range(0..len.min(12));
                self.keys[len - 1 - back]
            }
            _ => match self.new_key(node) {
                Some(key) => key,
                None => return,
            },
        };
        let ticket = self.ticket(ReplyPort::Ingress, Waiter::Caller(key));
        let arrival = Arrival {
            reply_to: ticket,
            origin: Origin::Caller { has_request_id: false },
            service: service(),
            request_id: RequestId(self.random.random()),
            rank: None,
            deadline: None,
            idempotency: Idempotency::Keyed(key),
            payload: Payload::default(),
        };
        self.later(Duration::ZERO, node, Input::CallArrived(arrival));
    }

    fn new_key(&mut self, node: usize) -> Option<IdempotencyKey> {
        let own = START + self.now.since(Time::ZERO);
        let hour = Duration::from_secs(3600);
        let key = match self.random.random_range(0..10) {
            // A caller with a clock of its own, an hour off either way or nearly right.
            0 => Some(IdempotencyKey::mint(own + hour, self.random.random())),
            1 => Some(IdempotencyKey::mint(START, self.random.random())),
            2 | 3 => Some(IdempotencyKey::mint(own, self.random.random())),
            _ if self.now < self.hosts[node].paused_until => None,
            _ => {
                let host = &mut self.hosts[node];
                host.node.mint_key(own + host.skew)
            }
        };
        self.keys.extend(key);
        key
    }

    fn fault(&mut self) {
        let wait = self.millis(300, 3_000);
        self.plan(wait, Event::Fault);
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
            _ => self.cut_until = self.now + length,
        }
    }
}

/// Runs histories; returns the keys that ran, the calls answered and what went wrong.
fn histories(seeds: std::ops::Range<u64>, mechanisms: Mechanisms) -> (usize, u64, Vec<String>) {
    let (mut ran, mut answered, mut wrong) = (0, 0, Vec::new());
    for seed in seeds {
        let world = World::new(seed, mechanisms).run();
        ran += world.runs.len();
        answered += world.answered;
        wrong.extend(world.lies.iter().map(|lie| format!("seed {seed}: {lie}")));
        let twice: HashSet<_> = world.runs.iter().filter(|(_, runs)| **runs > 1).collect();
        wrong.extend(twice.iter().map(|(key, runs)| format!("seed {seed}: {key:?} ran {runs}")));
    }
    (ran, answered, wrong)
}

#[test_case(0; "first seeds")]
#[test_case(1; "second seeds")]
#[test_case(2; "third seeds")]
#[test_case(3; "fourth seeds")]
fn at_most_once(part: u64) {
    let seeds = part * HISTORIES..(part + 1) * HISTORIES;
    let (ran, answered, wrong) = histories(seeds, Mechanisms::default());
    println!("{ran} keys ran, {answered} answers");
    assert!(wrong.is_empty(), "{} wrong, first {:?}", wrong.len(), wrong.first());
    assert!(ran as u64 > HISTORIES * 50, "histories in which little runs prove little: {ran}");
}

/// Histories of one test.
const HISTORIES: u64 = 250;

#[test]
fn twice_without_ledger() {
    let without = Mechanisms { has_deduplication: false, ..Mechanisms::default() };
    let (_, _, wrong) = histories(0..3, without);
    assert!(!wrong.is_empty(), "the histories do not need the ledger");
}

//! What happens to a call that arrives.

use std::time::Duration;

use rand::Rng;
use twox_hash::XxHash3_64;

use crate::{
    call::{
        Arrived, Call, Context, Idempotency, Outcome, Payload, Refusal, RequestId, RetryBudget,
        Share, ShedPosition, UnknownReason,
    },
    engine::{
        Arrival, CallKey, Calls, NodePhase, Origin, ReplyHandle, ReplyPort,
        calls::Cx,
        live::{Live, Stage},
    },
    gate::{AdmissionRequest, GateDecision, Permit, max_queue_wait},
    keys::{IdempotencyKey, KeyCheck, KeyState},
    names::VmName,
    policy::RankIndex,
    route::InstanceState,
    time::Time,
};

/// A hash of what a request asks for, to tell a repeat from another use of its key.
fn fingerprint(payload: &Payload) -> u64 {
    let mut bytes = Vec::with_capacity(payload.target.len() + payload.body.len() + 16);
    for part in [payload.method.as_bytes(), payload.target.as_bytes(), &payload.body] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    XxHash3_64::oneshot(&bytes)
}

/// What a new call inherits from where it comes from.
struct Inherited {
    request: RequestId,
    budget: RetryBudget,
    passed: Share,
    depth: u8,
    deadline: Time,
    rank: RankIndex,
}

impl Calls {
    /// Takes in a call and decides where it goes.
    pub(crate) fn arrive(&mut self, cx: &mut Cx<'_>, arrival: Arrival) {
        let inherited = match self.inherit(cx, &arrival) {
            Ok(inherited) => inherited,
            Err(reason) => return self.turn_away(cx, &arrival, reason),
        };
        let ticket = arrival.reply_to;
        let origin = arrival.origin;
        let is_outbound = matches!(origin, Origin::Upstream { .. } | Origin::Routed { .. });
        let parent = match origin {
            Origin::Upstream { parent } => parent,
            _ => None,
        };
        let caller = match &origin {
            Origin::Routed { caller, .. } => Some(caller.clone()),
            Origin::Peer { caller, .. } => caller.clone(),
            Origin::Caller { .. } | Origin::Upstream { .. } => None,
        };
        let context = Context {
            request_id: inherited.request,
            rank: self.policy.ranks.get(inherited.rank).name.clone(),
            deadline: inherited.deadline,
            depth: inherited.depth,
            idempotency: arrival.idempotency,
            caller,
        };
        let key = self.live.insert(Live {
            stage: Stage::Moving,
            ticket: Some(ticket),
            origin,
            rank: inherited.rank,
            effect: arrival.idempotency,
            deadline: inherited.deadline,
            arrived: cx.now,
            request: inherited.request,
            lent: inherited.budget,
            budget: inherited.budget,
            carried: RetryBudget::default(),
            attempt: 0,
            moves: 0,
            instance: None,
            place: Permit::default(),
            passed: inherited.passed,
            children: 0,
            children_since: Time::ZERO,
            children_time: Duration::ZERO,
        });
        self.tickets.insert(ticket, key);
        if self.options.enforces_deadlines {
            self.timers.set(inherited.deadline, key);
        }
        if !self.is_site_ruled || self.live[key].is_entry() {
            self.ratio.earn();
        }
        if let Some(parent) = parent.and_then(|parent| self.live.get_mut(parent)) {
            parent.begin_child(cx.now);
        }
        let call = Call::new(arrival.service, context, arrival.payload);
        if is_outbound {
            self.send_out(cx, key, call, None);
        } else {
            self.come_in(cx, key, call);
        }
    }

    fn inherit(&mut self, cx: &mut Cx<'_>, arrival: &Arrival) -> Result<Inherited, Refusal> {
        if self.live.len() >= self.options.max_calls {
            return Err(Refusal::NodeFull);
        }
        // Another node may have a newer configuration in force; what it asks of the own service
        // is served all the same.
        let is_own = self.is_site_ruled && arrival.service == self.me.service;
        if !is_own && self.policy.service(&arrival.service).is_none() {
            return Err(Refusal::UnknownService);
        }
        let parent = match arrival.origin {
            Origin::Upstream { parent: Some(parent) } => self.live.get(parent).map(|_| parent),
            _ => None,
        };
        let named = match &arrival.rank {
            Some(name) => match self.policy.ranks.find(name) {
                None if !self.is_site_ruled => return Err(Refusal::UnknownRank),
                found => found,
            },
            None => None,
        };
        let last = RankIndex(self.policy.ranks.len() as u8 - 1);
        let inherited = match parent {
            Some(parent) => self.inherit_from(parent, arrival),
            None => {
                let rank = named.unwrap_or(last);
                let target = cx.now + self.policy.ranks.get(rank).target;
                let (budget, depth, passed) = match &arrival.origin {
                    Origin::Peer { budget, depth, admitted_share: passed, .. } => {
                        (*budget, *depth, *passed)
                    }
                    Origin::Routed { max_attempts: attempts, is_nested: is_begun, .. } => {
                        let retries = RetryBudget::new(attempts.saturating_sub(1));
                        (retries, u8::from(*is_begun), Share::FULL)
                    }
                    _ => (self.begin_request(cx.now, arrival)?, 0, Share::FULL),
                };
                let deadline = arrival.deadline.unwrap_or(target);
                Inherited { request: arrival.request_id, budget, passed, depth, deadline, rank }
            }
        };
        if inherited.depth > self.policy.bounds.max_depth {
            return Err(Refusal::TooDeep);
        }
        Ok(inherited)
    }

    fn inherit_from(&mut self, parent: CallKey, arrival: &Arrival) -> Inherited {
        let full = self.full_budget();
        let is_shared = self.options.mechanisms.has_request_retry_budget;
        let live = &mut self.live[parent];
        let (rank, deadline, passed) = (live.rank, live.deadline, live.passed);
        let lent = live.budget.split_for_child();
        let (request, depth) = match &live.stage {
            Stage::Running(call) => (call.context().request_id, call.context().depth + 1),
            _ => (arrival.request_id, 1),
        };
        let budget = if is_shared { lent } else { full };
        let deadline = arrival.deadline.map_or(deadline, |d| d.min(deadline));
        Inherited { request, budget, passed, depth, deadline, rank }
    }

    fn full_budget(&self) -> RetryBudget {
        RetryBudget::new(self.policy.bounds.retries_per_request)
    }

    /// Retries for a request that begins here, less what its earlier tries have spent.
    fn begin_request(&mut self, now: Time, arrival: &Arrival) -> Result<RetryBudget, Refusal> {
        let full = self.full_budget();
        let Origin::Caller { has_request_id: states_identity } = arrival.origin else {
            return Ok(full);
        };
        let is_counted = self.options.mechanisms.has_request_retry_budget
            && arrival.idempotency == Idempotency::Idempotent;
        if !is_counted {
            return Ok(full);
        }
        if states_identity && !self.counts_retries_of(arrival.request_id) {
            return Ok(RetryBudget::default());
        }
        self.repeats.acquire(now, arrival.request_id, full).ok_or(Refusal::RepeatsSpent)
    }

    /// Whether this node, of all that serve the own service, counts the retries of `request`.
    ///
    /// A caller may repeat a request through any node, so one node alone gives it retries:
    /// the one with the highest hash of the two (Thaler and Ravishankar, 1998).
    fn counts_retries_of(&self, request: RequestId) -> bool {
        let weight = |vm: &VmName| {
            XxHash3_64::oneshot_with_seed(
                request.0 as u64 ^ (request.0 >> 64) as u64,
                vm.as_str().as_bytes(),
            )
        };
        let own = weight(&self.me.vm);
        self.router
            .instances_of(&self.me.service)
            .filter(|(_, instance)| instance.state == InstanceState::Serving)
            .all(|(_, instance)| weight(&instance.vm) < own)
    }

    /// Decides on a call for the own upstream.
    pub(crate) fn come_in(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>) {
        if *call.service() != self.me.service {
            let outcome = self.truthful_refusal(call, Refusal::UnknownService);
            return self.finish(cx, key, outcome);
        }
        match call.context().idempotency {
            Idempotency::Keyed(id) if self.options.mechanisms.has_deduplication => {
                self.come_in_once(cx, key, call, id);
            }
            _ => self.come_in_idempotent(cx, key, call),
        }
    }

    fn come_in_idempotent(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>) {
        let blocked = match cx.life {
            NodePhase::Starting(_) => Some(Refusal::Starting),
            NodePhase::Closing(_) => Some(Refusal::Draining),
            NodePhase::Draining(_) if !self.is_site_ruled => Some(Refusal::Draining),
            NodePhase::Serving(_) | NodePhase::Draining(_) if cx.now < self.upstream_down_until => {
                Some(Refusal::Unsent)
            }
            NodePhase::Serving(_) | NodePhase::Draining(_) => self.upstream_closed,
        };
        match blocked {
            Some(reason) if self.live[key].is_routed() => {
                self.move_on(cx, key, call, reason, self.wait_after(reason), self.me.vm.clone());
            }
            Some(_) if self.live[key].is_entry() => {
                self.send_out(cx, key, call, None);
            }
            Some(reason) => {
                let not_run = self.refuse(call, reason);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            None => self.offer(cx, key, call),
        }
    }

    /// Decides on a call whose second run would do harm.
    fn come_in_once(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        id: IdempotencyKey,
    ) {
        let Some(own) = cx.keeper.own_home(cx.now, id, &self.policy) else {
            if self.live[key].is_entry() {
                return self.send_out(cx, key, call, None);
            }
            let unknown = call.end_unknown(UnknownReason::HomeUnreachable);
            return self.finish(cx, key, Outcome::Unknown(unknown));
        };
        let mut epoch = own.epoch;
        epoch.floor = epoch.floor.max(self.ledger.floor());
        match epoch.check(id) {
            KeyCheck::Accepted => self.look_up(cx, key, call, id),
            KeyCheck::TooNew if own.is_live => {
                let not_run = self.refuse(call, Refusal::KeyTooNew);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            // The slot has passed on; its next holder may be known.
            KeyCheck::TooNew if self.live[key].is_entry() => self.send_out(cx, key, call, None),
            KeyCheck::TooNew => {
                let unknown = call.end_unknown(UnknownReason::HomeUnreachable);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
            KeyCheck::TooOld => {
                let unknown = call.end_unknown(UnknownReason::KeyForgotten);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
        }
    }

    fn look_up(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>, id: IdempotencyKey) {
        let print = fingerprint(call.payload());
        match self.ledger.look_up(id, print) {
            KeyState::Done(answer) => {
                let outcome = call.replay_answer(answer);
                self.finish(cx, key, outcome);
            }
            KeyState::AnswerLost => {
                let unknown = call.end_unknown(UnknownReason::AnswerLost);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
            KeyState::RequestMismatch => {
                let not_run = self.refuse(call, Refusal::KeyReused);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            KeyState::Running => self.follow(cx, key, call, id),
            KeyState::New => self.begin_once(cx, key, call, id, print),
        }
    }

    fn begin_once(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        id: IdempotencyKey,
        print: u64,
    ) {
        let refusal = match cx.life {
            NodePhase::Starting(_) => Some(Refusal::Starting),
            NodePhase::Draining(_) | NodePhase::Closing(_) => Some(Refusal::Draining),
            NodePhase::Serving(_) if !self.ledger.has_room() => Some(Refusal::LedgerFull),
            NodePhase::Serving(_) => None,
        };
        if let Some(reason) = refusal {
            let not_run = self.refuse(call, reason);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        self.ledger.begin(id, print);
        self.latest_accepted = self.latest_accepted.max(id.minted_at());
        self.running_keys.insert(id, key);
        self.offer(cx, key, call);
    }

    /// Waits for the outcome of an earlier call with the same key.
    fn follow(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>, id: IdempotencyKey) {
        match self.running_keys.get(&id) {
            Some(&first) => {
                self.live[key].stage = Stage::Following(call);
                self.followers.entry(first).or_default().push(key);
            }
            None => {
                let unknown = call.end_unknown(UnknownReason::StillRunning);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
        }
    }

    /// Puts a call before the gate.
    fn offer(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>) {
        let rank = self.live[key].rank;
        let draw = self.draw_of(call.context().request_id);
        if self.is_site_ruled && !self.may_finish(&call, rank, draw) {
            let not_run = self.refuse(call, Refusal::Unfinishable);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        let begins_here = call.context().depth == 0;
        let passed = self.live[key].passed;
        let call = call.admit();
        let offer = AdmissionRequest {
            call: key,
            rank,
            draw,
            deadline: call.context().deadline,
            is_nested: !begins_here,
            admitted_share: passed,
            max_wait: self
                .is_site_ruled
                .then(|| max_queue_wait(self.policy.ranks.get(rank).target)),
        };
        self.live[key].stage = Stage::Waiting(call);
        let mut steps = Vec::new();
        let own = self.gate.share(rank);
        let path = if begins_here { self.path_share(cx.now, rank) } else { own.with_slack() };
        self.live[key].passed = passed.min(path);
        if begins_here && own.admits(draw) && !path.admits(draw) {
            steps.push(GateDecision::Refuse(key, Refusal::Overload));
        } else {
            self.gate.submit(cx.now, offer, &mut steps);
        }
        self.take_steps(cx, steps);
        self.watch_waiting(key);
    }

    fn draw_of(&mut self, request: RequestId) -> ShedPosition {
        if self.options.mechanisms.has_consistent_shedding {
            request.shed_position()
        } else {
            ShedPosition(self.random.random())
        }
    }

    /// Notes that nobody waits for `ticket` any longer.
    pub(crate) fn caller_left(&mut self, cx: &mut Cx<'_>, ticket: ReplyHandle) {
        debug_assert!(
            matches!(ticket.port, ReplyPort::Ingress | ReplyPort::Peers),
            "ports that wait"
        );
        if let Some(&key) = self.tickets.get(&ticket) {
            self.abandon(cx, key, UnknownReason::CallerLeft);
        }
    }
}

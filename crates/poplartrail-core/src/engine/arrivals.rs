//! Admission and routing of calls that arrive.

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
        active_call::{ActiveCall, Stage},
        calls::DecisionContext,
    },
    gate::{AdmissionRequest, GateDecision, Permit, max_queue_wait},
    keys::{IdempotencyKey, KeyCheck, KeyState},
    names::VmName,
    policy::RankIndex,
    route::InstanceState,
    time::Time,
};

/// Hashes the content of a request, to tell a repeat from a reuse of its key for another request.
fn fingerprint(payload: &Payload) -> u64 {
    let mut bytes = Vec::with_capacity(payload.target.len() + payload.body.len() + 16);
    for part in [payload.method.as_bytes(), payload.target.as_bytes(), &payload.body] {
        bytes.extend_from_slice(&(part.len() as u64).to_le_bytes());
        bytes.extend_from_slice(part);
    }
    XxHash3_64::oneshot(&bytes)
}

/// Properties of a new call that come from its parent, its sender or the policy.
struct Inherited {
    request_id: RequestId,
    budget: RetryBudget,
    admitted_share: Share,
    depth: u8,
    deadline: Time,
    rank: RankIndex,
}

impl Calls {
    /// Registers a call, then sends it to an instance if it is outbound, or handles it for the
    /// local upstream.
    pub(crate) fn handle_arrival(&mut self, cx: &mut DecisionContext<'_>, arrival: Arrival) {
        let inherited = match self.inherit(cx, &arrival) {
            Ok(inherited) => inherited,
            Err(reason) => return self.refuse_on_arrival(cx, &arrival, reason),
        };
        let reply_to = arrival.reply_to;
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
            request_id: inherited.request_id,
            rank: self.policy.ranks.get(inherited.rank).name.clone(),
            deadline: inherited.deadline,
            depth: inherited.depth,
            idempotency: arrival.idempotency,
            caller,
        };
        let key = self.active_calls.insert(ActiveCall {
            stage: Stage::InTransition,
            reply_to: Some(reply_to),
            origin,
            rank: inherited.rank,
            idempotency: arrival.idempotency,
            deadline: inherited.deadline,
            arrived_at: cx.now,
            request_id: inherited.request_id,
            lent_budget: inherited.budget,
            budget: inherited.budget,
            carried_budget: RetryBudget::default(),
            attempt: 0,
            reroutes: 0,
            instance: None,
            permit: Permit::default(),
            admitted_share: inherited.admitted_share,
            children: 0,
            children_since: Time::ZERO,
            children_time: Duration::ZERO,
        });
        self.awaited_replies.insert(reply_to, key);
        if self.options.enforces_deadlines {
            self.timers.set(inherited.deadline, key);
        }
        if !self.is_hosted || self.active_calls[key].is_entry() {
            self.retry_tokens.record_call(&arrival.service);
        }
        if let Some(parent) = parent.and_then(|parent| self.active_calls.get_mut(parent)) {
            parent.begin_child(cx.now);
        }
        let call = Call::new(arrival.service, context, arrival.payload);
        if is_outbound {
            self.send_outbound(cx, key, call, None);
        } else {
            self.handle_inbound(cx, key, call);
        }
    }

    fn inherit(
        &mut self,
        cx: &mut DecisionContext<'_>,
        arrival: &Arrival,
    ) -> Result<Inherited, Refusal> {
        if self.active_calls.len() >= self.options.max_calls {
            return Err(Refusal::NodeFull);
        }
        // The sender may have a newer configuration in force, so calls to the local service are
        // served even if the policy here does not list it yet.
        let is_local = self.is_hosted && arrival.service == self.local_member.service;
        if !is_local && self.policy.service(&arrival.service).is_none() {
            return Err(Refusal::UnknownService);
        }
        let parent = match arrival.origin {
            Origin::Upstream { parent: Some(parent) } => {
                self.active_calls.get(parent).map(|_| parent)
            }
            _ => None,
        };
        let stated_rank = match &arrival.rank {
            Some(name) => match self.policy.ranks.find(name) {
                None if !self.is_hosted => return Err(Refusal::UnknownRank),
                found => found,
            },
            None => None,
        };
        let lowest_rank = RankIndex(self.policy.ranks.len() as u8 - 1);
        let inherited = match parent {
            Some(parent) => self.inherit_from_parent(parent, arrival),
            None => {
                let rank = stated_rank.unwrap_or(lowest_rank);
                let target = cx.now + self.policy.ranks.get(rank).target;
                let (budget, depth, admitted_share) = match &arrival.origin {
                    Origin::Peer { budget, depth, admitted_share, .. } => {
                        (*budget, *depth, *admitted_share)
                    }
                    Origin::Routed { max_attempts, is_nested, .. } => {
                        let retries = RetryBudget::new(max_attempts.saturating_sub(1));
                        (retries, u8::from(*is_nested), Share::FULL)
                    }
                    _ => (self.acquire_retry_budget(cx.now, arrival)?, 0, Share::FULL),
                };
                let deadline = arrival.deadline.unwrap_or(target);
                Inherited {
                    request_id: arrival.request_id,
                    budget,
                    admitted_share,
                    depth,
                    deadline,
                    rank,
                }
            }
        };
        if inherited.depth > self.policy.bounds.max_depth {
            return Err(Refusal::TooDeep);
        }
        Ok(inherited)
    }

    fn inherit_from_parent(&mut self, parent: CallKey, arrival: &Arrival) -> Inherited {
        let full = self.full_budget();
        let is_shared = self.options.mechanisms.has_request_retry_budget;
        let active_call = &mut self.active_calls[parent];
        let (rank, deadline, admitted_share) =
            (active_call.rank, active_call.deadline, active_call.admitted_share);
        let lent_budget = active_call.budget.split_for_child();
        let (request_id, depth) = match &active_call.stage {
            Stage::Running(call) => (call.context().request_id, call.context().depth + 1),
            _ => (arrival.request_id, 1),
        };
        let budget = if is_shared { lent_budget } else { full };
        let deadline = arrival.deadline.map_or(deadline, |d| d.min(deadline));
        Inherited { request_id, budget, admitted_share, depth, deadline, rank }
    }

    fn full_budget(&self) -> RetryBudget {
        RetryBudget::new(self.policy.bounds.retries_per_request)
    }

    /// Returns the retry budget of a request that begins here, less what its earlier repeats have
    /// spent.
    fn acquire_retry_budget(
        &mut self,
        now: Time,
        arrival: &Arrival,
    ) -> Result<RetryBudget, Refusal> {
        let full = self.full_budget();
        let Origin::Caller { has_request_id } = arrival.origin else { return Ok(full) };
        let is_counted = self.options.mechanisms.has_request_retry_budget
            && arrival.idempotency == Idempotency::Idempotent;
        if !is_counted {
            return Ok(full);
        }
        if has_request_id && !self.assigns_retry_budget_to(arrival.request_id) {
            return Ok(RetryBudget::default());
        }
        self.retry_budgets.acquire(now, arrival.request_id, full).ok_or(Refusal::RepeatsSpent)
    }

    /// Whether this node, among all nodes of the local service, assigns retries to `request_id`.
    ///
    /// A caller may repeat a request through any node, so only one node gives it a retry budget:
    /// the one with the highest hash of node and request (rendezvous hashing; Thaler and
    /// Ravishankar, 1998).
    fn assigns_retry_budget_to(&self, request_id: RequestId) -> bool {
        let weight = |vm: &VmName| {
            XxHash3_64::oneshot_with_seed(
                request_id.0 as u64 ^ (request_id.0 >> 64) as u64,
                vm.as_str().as_bytes(),
            )
        };
        let local_weight = weight(&self.local_member.vm);
        self.router
            .instances_of(&self.local_member.service)
            .filter(|(_, instance)| instance.state == InstanceState::Serving)
            .all(|(_, instance)| weight(&instance.vm) < local_weight)
    }

    /// Handles a call for the local upstream.
    pub(crate) fn handle_inbound(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
    ) {
        if *call.service() != self.local_member.service {
            let outcome = self.refuse_or_unknown(call, Refusal::UnknownService);
            return self.finish(cx, key, outcome);
        }
        match call.context().idempotency {
            Idempotency::Keyed(idempotency_key) if self.options.mechanisms.has_deduplication => {
                self.handle_keyed(cx, key, call, idempotency_key);
            }
            _ => self.handle_unkeyed(cx, key, call),
        }
    }

    fn handle_unkeyed(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, call: Call<Arrived>) {
        let refusal = match cx.phase {
            NodePhase::Starting(_) => Some(Refusal::Starting),
            NodePhase::Closing(_) => Some(Refusal::Draining),
            NodePhase::Draining(_) if !self.is_hosted => Some(Refusal::Draining),
            NodePhase::Serving(_) | NodePhase::Draining(_) if cx.now < self.upstream_down_until => {
                Some(Refusal::Unsent)
            }
            NodePhase::Serving(_) | NodePhase::Draining(_) => self.upstream_refusal,
        };
        match refusal {
            Some(reason) if self.active_calls[key].is_routed() => {
                self.reroute(
                    cx,
                    key,
                    call,
                    reason,
                    self.retry_after_for(reason),
                    self.local_member.vm.clone(),
                );
            }
            Some(_) if self.active_calls[key].is_entry() => {
                self.send_outbound(cx, key, call, None);
            }
            Some(reason) => {
                let not_run = self.refuse(call, reason);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            None => self.offer_to_gate(cx, key, call),
        }
    }

    /// Handles a call with an idempotency key, which must run at most once.
    fn handle_keyed(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
    ) {
        let Some(home) = cx.cluster.local_home(cx.now, idempotency_key, &self.policy) else {
            if self.active_calls[key].is_entry() {
                return self.send_outbound(cx, key, call, None);
            }
            let unknown = call.end_unknown(UnknownReason::HomeUnreachable);
            return self.finish(cx, key, Outcome::Unknown(unknown));
        };
        let mut epoch = home.epoch;
        epoch.floor = epoch.floor.max(self.ledger.floor());
        match epoch.check(idempotency_key) {
            KeyCheck::Accepted => self.look_up(cx, key, call, idempotency_key),
            KeyCheck::TooNew if home.is_lease_valid => {
                let not_run = self.refuse(call, Refusal::KeyTooNew);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            // The key slot may have passed to another node, which the cluster state may know.
            KeyCheck::TooNew if self.active_calls[key].is_entry() => {
                self.send_outbound(cx, key, call, None);
            }
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

    fn look_up(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
    ) {
        let fingerprint = fingerprint(call.payload());
        match self.ledger.look_up(idempotency_key, fingerprint) {
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
            KeyState::Running => self.await_earlier_call(cx, key, call, idempotency_key),
            KeyState::New => self.begin_keyed(cx, key, call, idempotency_key, fingerprint),
        }
    }

    fn begin_keyed(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
        fingerprint: u64,
    ) {
        let refusal = match cx.phase {
            NodePhase::Starting(_) => Some(Refusal::Starting),
            NodePhase::Draining(_) | NodePhase::Closing(_) => Some(Refusal::Draining),
            NodePhase::Serving(_) if !self.ledger.has_room() => Some(Refusal::LedgerFull),
            NodePhase::Serving(_) => None,
        };
        if let Some(reason) = refusal {
            let not_run = self.refuse(call, reason);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        self.ledger.record_dispatch(idempotency_key, fingerprint);
        self.last_accepted = self.last_accepted.max(idempotency_key.minted_at());
        self.running_keys.insert(idempotency_key, key);
        self.offer_to_gate(cx, key, call);
    }

    /// Waits for the outcome of an earlier call with the same key.
    fn await_earlier_call(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
    ) {
        match self.running_keys.get(&idempotency_key) {
            Some(&first) => {
                self.active_calls[key].stage = Stage::Following(call);
                self.followers.entry(first).or_default().push(key);
            }
            None => {
                let unknown = call.end_unknown(UnknownReason::StillRunning);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
        }
    }

    /// Offers a call to the gate, unless its whole request is refused first.
    fn offer_to_gate(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, call: Call<Arrived>) {
        let rank = self.active_calls[key].rank;
        let shed_position = self.shed_position_of(call.context().request_id);
        if self.is_hosted && !self.admits_request(&call, rank, shed_position) {
            let not_run = self.refuse(call, Refusal::Unfinishable);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        let is_root_call = call.context().depth == 0;
        let admitted_share = self.active_calls[key].admitted_share;
        let call = call.admit();
        let admission = AdmissionRequest {
            call: key,
            rank,
            shed_position,
            deadline: call.context().deadline,
            is_nested: !is_root_call,
            admitted_share,
            max_wait: self.is_hosted.then(|| max_queue_wait(self.policy.ranks.get(rank).target)),
        };
        self.active_calls[key].stage = Stage::Queued(call);
        let mut decisions = Vec::new();
        let local_share = self.gate.share(rank);
        let path_share =
            if is_root_call { self.path_share(cx.now, rank) } else { local_share.with_slack() };
        self.active_calls[key].admitted_share = admitted_share.min(path_share);
        if is_root_call && local_share.admits(shed_position) && !path_share.admits(shed_position) {
            decisions.push(GateDecision::Refuse(key, Refusal::Overload));
        } else {
            self.gate.submit(cx.now, admission, &mut decisions);
        }
        self.apply_gate_decisions(cx, decisions);
        self.set_queue_timer(key);
    }

    fn shed_position_of(&mut self, request_id: RequestId) -> ShedPosition {
        if self.options.mechanisms.has_consistent_shedding {
            request_id.shed_position()
        } else {
            ShedPosition(self.rng.random())
        }
    }

    /// Abandons the call whose caller no longer waits for `reply_to`.
    pub(crate) fn handle_caller_left(
        &mut self,
        cx: &mut DecisionContext<'_>,
        reply_to: ReplyHandle,
    ) {
        debug_assert!(
            matches!(reply_to.port, ReplyPort::Ingress | ReplyPort::Peers),
            "both ports wait for replies"
        );
        if let Some(&key) = self.awaited_replies.get(&reply_to) {
            self.abandon(cx, key, UnknownReason::CallerLeft);
        }
    }
}

//! How a call goes to another node, and goes again.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::{
    call::{Arrived, Call, Idempotency, Outcome, Refusal, RetryBudget, UnknownReason},
    engine::{
        CallKey, Calls, EventKind, Output, PeerCall, active_call::Stage, calls::DecisionContext,
        ending::gate_load,
    },
    keys::{Home, IdempotencyKey, LeaseTerms},
    member::{MemberRecord, MemberState},
    names::{ServiceName, VmName},
    route::{InstanceChoice, InstanceKey},
    time::Time,
};

/// Least time between two questions for the holder of a slot.
const ASK_HOLDER_INTERVAL: Duration = Duration::from_millis(200);

/// Nodes that may turn a call away before it is refused for good.
const MAX_REROUTES: u8 = 3;

impl Calls {
    /// Chooses an instance for a call and sends it there.
    pub(crate) fn send_outbound(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        avoid: Option<InstanceKey>,
    ) {
        let service = call.service().clone();
        self.record_callee(cx.now, &service, self.active_calls[key].rank);
        match call.context().idempotency {
            Idempotency::Keyed(idempotency_key) if self.options.mechanisms.has_deduplication => {
                self.send_to_home(cx, key, call, idempotency_key);
            }
            _ => self.send_to_any(cx, key, call, avoid),
        }
    }

    pub(crate) fn send_to_any(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        avoid: Option<InstanceKey>,
    ) {
        let rank = self.active_calls[key].rank;
        let shed_position = call.context().request_id.shed_position();
        let random = self.random();
        self.update_local_load();
        let choice = self.router.choose(cx.now, call.service(), rank, shed_position, avoid, random);
        let choice = match choice {
            // The instance to avoid is better than none.
            InstanceChoice::NoInstance if avoid.is_some() => {
                self.router.choose(cx.now, call.service(), rank, shed_position, None, random)
            }
            choice => choice,
        };
        match choice {
            InstanceChoice::Send(instance) => self.send_to(cx, key, call, instance),
            InstanceChoice::Shed(_) => {
                let not_run = self.refuse(call, Refusal::Overload);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
            InstanceChoice::NoInstance => {
                let not_run = self.refuse(call, Refusal::NoInstance);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
        }
    }

    /// Sends a call to the one node that may run its key.
    fn send_to_home(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
    ) {
        let holder = cx.cluster.holder(call.service(), idempotency_key, &self.policy);
        let instance = holder.and_then(|vm| self.router.get_by_vm(vm)).map(|(key, _)| key);
        match instance {
            Some(instance) => self.send_to(cx, key, call, instance),
            None => {
                self.ask_key_holder(cx, call.service(), idempotency_key);
                let unknown = call.end_unknown(UnknownReason::HomeUnreachable);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
        }
    }

    /// Asks a node in the key's availability zone who holds which slot.
    ///
    /// A claim that the log no longer lets this node read is known to its holder at least.
    fn ask_key_holder(
        &mut self,
        cx: &mut DecisionContext<'_>,
        service: &ServiceName,
        idempotency_key: IdempotencyKey,
    ) {
        let Some(home) = Home::of_key(idempotency_key, service, &self.policy) else { return };
        if cx.now < self.next_ask_holder_at {
            return;
        }
        let in_zone: Vec<_> = self
            .router
            .instances_of(service)
            .filter(|(_, instance)| instance.zone == home.zone)
            .map(|(_, instance)| (instance.vm.clone(), instance.addr))
            .collect();
        if let Some((vm, addr)) = in_zone.choose(&mut self.rng) {
            self.next_ask_holder_at = cx.now + ASK_HOLDER_INTERVAL;
            let (addr, vm) = (*addr, vm.clone());
            cx.out.push(Output::AskMembers { addr, vm, local_record: self.local_record() });
        }
    }

    /// What the node says of itself.
    pub(crate) fn local_record(&self) -> MemberRecord {
        let bounds = &self.policy.bounds;
        MemberRecord {
            member: self.local_member.clone(),
            state: MemberState::Serving,
            terms: LeaseTerms { duration: bounds.lease, max_skew: bounds.clock_skew },
            sent_at: Time::ZERO,
            slots: Vec::new(),
        }
    }

    fn send_to(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        instance: InstanceKey,
    ) {
        if self.router.local_instance() == Some(instance) {
            self.active_calls[key].instance = Some(instance);
            return self.handle_inbound(cx, key, call);
        }
        let Some(target) = self.router.get(instance) else { return };
        let (vm, addr) = (target.vm.clone(), target.addr);
        // Calls beyond the instance's share go elsewhere, so it hears nothing of them.
        let admitted = target.share(cx.now, self.active_calls[key].rank).with_slack();
        self.router.record_sent(cx.now, instance);
        let active_call = &mut self.active_calls[key];
        active_call.attempt += 1;
        // The retries of a routed call are decided here alone.
        active_call.carried_budget = if active_call.is_routed() {
            RetryBudget::default()
        } else {
            active_call.budget.split_for_send()
        };
        active_call.instance = Some(instance);
        cx.out.push(Output::Send(PeerCall {
            call: key,
            attempt: active_call.attempt,
            vm,
            addr,
            service: call.service().clone(),
            context: call.context().clone(),
            budget: active_call.carried_budget,
            admitted_share: active_call.admitted_share.min(admitted),
            payload: call.payload().clone(),
        }));
        active_call.stage = Stage::Forwarded(call.forward(cx.now));
    }

    /// Sends a call again if its retries allow, or ends it with `otherwise`.
    pub(crate) fn retry(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        why: &'static str,
        otherwise: impl FnOnce(&Self, Call<Arrived>) -> Outcome,
    ) {
        let is_bounded = self.options.mechanisms.has_request_retry_budget;
        let has_time = call.context().deadline > cx.now;
        let may_retry = has_time
            && self.active_calls[key].budget.remaining() > 0
            && (!is_bounded || self.retry_tokens.spend())
            && self.active_calls[key].budget.spend();
        if !may_retry {
            let outcome = otherwise(self, call);
            return self.finish(cx, key, outcome);
        }
        let avoid = self.active_calls[key].instance;
        let left = self.active_calls[key].budget.remaining();
        let (request_id, rank) = (call.context().request_id, call.context().rank.clone());
        let service = call.service().clone();
        self.send_outbound(cx, key, call, avoid);
        if let Some(instance) =
            self.active_calls.get(key).and_then(|active_call| active_call.instance)
            && let Some(to) = self.router.get(instance).map(|i| i.vm.clone())
        {
            let kind = EventKind::Retried { service, to, why, left };
            cx.record_event(Some(request_id), Some(rank), kind);
        }
    }

    /// Sends a call elsewhere that a node turned away before its upstream heard of it.
    ///
    /// This is no retry, as nothing has run; a bound on moves keeps a call from wandering about
    /// while every instance is full.
    pub(crate) fn reroute(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        reason: Refusal,
        wait: Option<Duration>,
        by: VmName,
    ) {
        let has_time = call.context().deadline > cx.now;
        let active_call = &mut self.active_calls[key];
        let is_elsewhere = reason.is_retryable_elsewhere() || reason == Refusal::UnknownService;
        if !has_time || active_call.reroutes >= MAX_REROUTES || !is_elsewhere {
            let not_run = call.refuse(reason, wait, by);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        active_call.reroutes += 1;
        let avoid = active_call.instance;
        let is_full = matches!(reason, Refusal::QueueFull | Refusal::Overload);
        if is_full {
            self.update_local_load();
            let random = self.random();
            let choice = self.router.choose_with_room(cx.now, call.service(), avoid, random);
            let InstanceChoice::Send(instance) = choice else {
                let not_run = call.refuse(reason, wait, by);
                return self.finish(cx, key, Outcome::NotRun(not_run));
            };
            self.record_reroute(cx, &call, by, reason);
            return self.send_to(cx, key, call, instance);
        }
        self.record_reroute(cx, &call, by, reason);
        self.send_to_any(cx, key, call, avoid);
    }

    fn record_reroute(
        &self,
        cx: &mut DecisionContext<'_>,
        call: &Call<Arrived>,
        by: VmName,
        reason: Refusal,
    ) {
        let (request_id, rank) = (call.context().request_id, call.context().rank.clone());
        let kind = EventKind::Rerouted { service: call.service().clone(), from: by, reason };
        cx.record_event(Some(request_id), Some(rank), kind);
    }

    /// Brings the own instance's entry in the routes up to the state of the own gate.
    fn update_local_load(&mut self) {
        let (in_flight, queued) = (self.gate.in_flight(), self.gate.queued());
        let load = gate_load(in_flight, queued, self.gate.limit());
        self.router.set_local_load(load, in_flight as u32);
    }

    /// Treats every call at `instance` as lost, because its connection is replaced.
    pub(crate) fn fail_calls_to(&mut self, cx: &mut DecisionContext<'_>, instance: InstanceKey) {
        let lost: Vec<(CallKey, u32)> = self
            .active_calls
            .iter()
            .filter(|(_, active_call)| {
                active_call.instance == Some(instance)
                    && matches!(active_call.stage, Stage::Forwarded(_))
            })
            .map(|(key, active_call)| (key, active_call.attempt))
            .collect();
        for (key, attempt) in lost {
            cx.out.push(Output::CancelSend { call: key, attempt });
            self.handle_peer_result(cx, key, attempt, Err(crate::engine::PeerFault::Lost));
        }
    }
}

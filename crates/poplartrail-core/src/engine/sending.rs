//! Sends calls to other nodes: choice of the instance, retries and reroutes.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::{
    call::{Arrived, Call, Idempotency, Outcome, Refusal, RetryBudget, UnknownReason},
    engine::{
        CallKey, Calls, EventKind, Output, PeerCall, active_call::Stage, calls::DecisionContext,
    },
    keys::{Home, IdempotencyKey, LeaseTerms},
    member::{MemberRecord, MemberState},
    names::{ServiceName, VmName},
    route::{InstanceChoice, InstanceKey},
    time::Time,
};

/// Minimum time between two requests for the holder of a key slot.
const ASK_HOLDER_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of times that a refused call is sent to another instance.
const MAX_REROUTES: u8 = 3;

impl Calls {
    /// Chooses an instance for a call and sends the call to it.
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
            _ => self.send_to_any_instance(cx, key, call, avoid),
        }
    }

    pub(crate) fn send_to_any_instance(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        avoid: Option<InstanceKey>,
    ) {
        let rank = self.active_calls[key].rank;
        let shed_position = call.context().request_id.shed_position();
        let random = self.random();
        self.update_local_load(cx.now);
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

    /// Sends a call to the only node that may run its key.
    fn send_to_home(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        idempotency_key: IdempotencyKey,
    ) {
        let holder = cx.cluster.key_holder(call.service(), idempotency_key, &self.policy);
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

    /// Asks a random node in the key's zone which key slots it and others hold.
    ///
    /// The log may have dropped the claim of a slot. Its holder still knows it, as may other nodes
    /// in the zone; repeated requests to random nodes reach one that does.
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

    /// Returns a member record of this node in state `Serving`, without key slots and time of
    /// sending.
    pub(crate) fn local_record(&self) -> MemberRecord {
        let bounds = &self.policy.bounds;
        MemberRecord {
            member: self.local_member.clone(),
            state: MemberState::Serving,
            terms: LeaseTerms { duration: bounds.lease, max_skew: bounds.clock_skew },
            sent_at: Time::ZERO,
            slot_changes: Vec::new(),
            upstream: None,
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
        // Calls beyond the instance's share are sent elsewhere. The instance does not see them, so
        // the call states the share that was admitted.
        let admitted = target.share(cx.now, self.active_calls[key].rank).with_slack();
        let terms = target.terms(cx.now);
        self.router.record_sent(cx.now, instance);
        let active_call = &mut self.active_calls[key];
        active_call.attempt += 1;
        // Only this node retries a routed call.
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
            terms,
            payload: call.payload().clone(),
        }));
        active_call.stage = Stage::Forwarded(call.forward(cx.now));
    }

    /// Sends a call again if time is left and both its own retry budget and the node's retry tokens
    /// for its service allow it; otherwise ends it with the outcome of `otherwise`.
    pub(crate) fn retry(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        cause: &'static str,
        otherwise: impl FnOnce(&Self, Call<Arrived>) -> Outcome,
    ) {
        let uses_retry_tokens = self.options.mechanisms.has_request_retry_budget;
        let has_time = call.context().deadline > cx.now;
        let may_retry = has_time
            && self.active_calls[key].budget.remaining() > 0
            && (!uses_retry_tokens || self.retry_tokens.try_take(call.service()))
            && self.active_calls[key].budget.spend();
        if !may_retry {
            let outcome = otherwise(self, call);
            return self.finish(cx, key, outcome);
        }
        let avoid = self.active_calls[key].instance;
        let remaining_retries = self.active_calls[key].budget.remaining();
        let (request_id, rank) = (call.context().request_id, call.context().rank.clone());
        let service = call.service().clone();
        self.send_outbound(cx, key, call, avoid);
        if let Some(instance) =
            self.active_calls.get(key).and_then(|active_call| active_call.instance)
            && let Some(to) = self.router.get(instance).map(|i| i.vm.clone())
        {
            let kind = EventKind::Retried { service, to, cause, remaining_retries };
            cx.record_event(Some(request_id), Some(rank), kind);
        }
    }

    /// Sends a refused call to another instance.
    ///
    /// This is no retry, as nothing has run. [`MAX_REROUTES`] keeps a call from going around while
    /// every instance is full.
    pub(crate) fn reroute(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
        reason: Refusal,
        retry_after: Option<Duration>,
        refused_by: VmName,
    ) {
        let has_time = call.context().deadline > cx.now;
        let active_call = &mut self.active_calls[key];
        let is_reroutable = reason.is_retryable_elsewhere() || reason == Refusal::UnknownService;
        if !has_time || active_call.reroutes >= MAX_REROUTES || !is_reroutable {
            let not_run = call.refuse(reason, retry_after, refused_by);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        active_call.reroutes += 1;
        let avoid = active_call.instance;
        let is_full = matches!(reason, Refusal::QueueFull | Refusal::Overload);
        if is_full {
            self.update_local_load(cx.now);
            let random = self.random();
            let choice = self.router.choose_with_room(cx.now, call.service(), avoid, random);
            let InstanceChoice::Send(instance) = choice else {
                let not_run = call.refuse(reason, retry_after, refused_by);
                return self.finish(cx, key, Outcome::NotRun(not_run));
            };
            self.record_reroute(cx, &call, refused_by, reason);
            return self.send_to(cx, key, call, instance);
        }
        self.record_reroute(cx, &call, refused_by, reason);
        self.send_to_any_instance(cx, key, call, avoid);
    }

    fn record_reroute(
        &self,
        cx: &mut DecisionContext<'_>,
        call: &Call<Arrived>,
        refused_by: VmName,
        reason: Refusal,
    ) {
        let (request_id, rank) = (call.context().request_id, call.context().rank.clone());
        let kind =
            EventKind::Rerouted { service: call.service().clone(), from: refused_by, reason };
        cx.record_event(Some(request_id), Some(rank), kind);
    }

    /// Updates the load of the local instance in the router from the gate.
    fn update_local_load(&mut self, now: Time) {
        let load = self.load(now);
        self.router.set_local_load(load, self.gate.in_flight() as u32);
    }

    /// Treats every call sent to `instance` as lost, because its connection is replaced.
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

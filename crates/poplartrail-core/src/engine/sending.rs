//! How a call goes to another node, and goes again.

use std::time::Duration;

use rand::seq::IndexedRandom;

use crate::{
    call::{Arrived, Call, Idempotency, Outcome, Refusal, RetryBudget, UnknownReason},
    engine::{
        CallKey, Calls, EventKind, Output, PeerCall, calls::Cx, ending::gate_load, live::Stage,
    },
    keys::{Home, IdempotencyKey, LeaseTerms},
    member::{MemberRecord, MemberState},
    names::{ServiceName, VmName},
    route::{InstanceChoice, InstanceKey},
    time::Time,
};

/// Least time between two questions for the holder of a slot.
const ASK_HOLDER_PAUSE: Duration = Duration::from_millis(200);

/// Nodes that may turn a call away before it is refused for good.
const MAX_MOVES: u8 = 3;

impl Calls {
    /// Chooses an instance for a call and sends it there.
    pub(crate) fn send_out(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        avoid: Option<InstanceKey>,
    ) {
        let service = call.service().clone();
        self.note_called(cx.now, &service, self.live[key].rank);
        match call.context().idempotency {
            Idempotency::Keyed(id) if self.options.mechanisms.has_deduplication => {
                self.send_home(cx, key, call, id);
            }
            _ => self.send_anywhere(cx, key, call, avoid),
        }
    }

    pub(crate) fn send_anywhere(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        avoid: Option<InstanceKey>,
    ) {
        let rank = self.live[key].rank;
        let draw = call.context().request_id.shed_position();
        let random = self.random();
        self.note_own_load();
        let choice = self.router.choose(cx.now, call.service(), rank, draw, avoid, random);
        let choice = match choice {
            // The instance to avoid is better than none.
            InstanceChoice::NoInstance if avoid.is_some() => {
                self.router.choose(cx.now, call.service(), rank, draw, None, random)
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
    fn send_home(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        id: IdempotencyKey,
    ) {
        let holder = cx.keeper.holder(call.service(), id, &self.policy);
        let instance = holder.and_then(|vm| self.router.get_by_vm(vm)).map(|(key, _)| key);
        match instance {
            Some(instance) => self.send_to(cx, key, call, instance),
            None => {
                self.ask_holder(cx, call.service(), id);
                let unknown = call.end_unknown(UnknownReason::HomeUnreachable);
                self.finish(cx, key, Outcome::Unknown(unknown));
            }
        }
    }

    /// Asks a node in the key's availability zone who holds which slot.
    ///
    /// A claim that the log no longer lets this node read is known to its holder at least.
    fn ask_holder(&mut self, cx: &mut Cx<'_>, service: &ServiceName, id: IdempotencyKey) {
        let Some(home) = Home::of_key(id, service, &self.policy) else { return };
        if cx.now < self.ask_holder_at {
            return;
        }
        let in_zone: Vec<_> = self
            .router
            .instances_of(service)
            .filter(|(_, instance)| instance.zone == home.zone)
            .map(|(_, instance)| (instance.vm.clone(), instance.addr))
            .collect();
        if let Some((vm, to)) = in_zone.choose(&mut self.random) {
            self.ask_holder_at = cx.now + ASK_HOLDER_PAUSE;
            let (to, vm) = (*to, vm.clone());
            cx.out.push(Output::AskMembers { addr: to, vm, local_record: self.own_record() });
        }
    }

    /// What the node says of itself.
    pub(crate) fn own_record(&self) -> MemberRecord {
        let bounds = &self.policy.bounds;
        MemberRecord {
            member: self.me.clone(),
            state: MemberState::Serving,
            terms: LeaseTerms { duration: bounds.lease, max_skew: bounds.clock_skew },
            sent_at: Time::ZERO,
            slots: Vec::new(),
        }
    }

    fn send_to(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        instance: InstanceKey,
    ) {
        if self.router.local_instance() == Some(instance) {
            self.live[key].instance = Some(instance);
            return self.come_in(cx, key, call);
        }
        let Some(target) = self.router.get(instance) else { return };
        let (vm, to) = (target.vm.clone(), target.addr);
        // Calls beyond the instance's share go elsewhere, so it hears nothing of them.
        let admitted = target.share(cx.now, self.live[key].rank).with_slack();
        self.router.record_sent(cx.now, instance);
        let live = &mut self.live[key];
        live.attempt += 1;
        // The retries of a routed call are decided here alone.
        live.carried =
            if live.is_routed() { RetryBudget::default() } else { live.budget.split_for_send() };
        live.instance = Some(instance);
        cx.out.push(Output::Send(PeerCall {
            call: key,
            attempt: live.attempt,
            vm,
            addr: to,
            service: call.service().clone(),
            context: call.context().clone(),
            budget: live.carried,
            admitted_share: live.passed.min(admitted),
            payload: call.payload().clone(),
        }));
        live.stage = Stage::Away(call.forward(cx.now));
    }

    /// Sends a call again if its retries allow, or ends it with `otherwise`.
    pub(crate) fn send_again(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        why: &'static str,
        otherwise: impl FnOnce(&Self, Call<Arrived>) -> Outcome,
    ) {
        let is_bounded = self.options.mechanisms.has_request_retry_budget;
        let has_time = call.context().deadline > cx.now;
        let may_retry = has_time
            && self.live[key].budget.remaining() > 0
            && (!is_bounded || self.ratio.spend())
            && self.live[key].budget.spend();
        if !may_retry {
            let outcome = otherwise(self, call);
            return self.finish(cx, key, outcome);
        }
        let avoid = self.live[key].instance;
        let left = self.live[key].budget.remaining();
        let (request, rank) = (call.context().request_id, call.context().rank.clone());
        let service = call.service().clone();
        self.send_out(cx, key, call, avoid);
        if let Some(instance) = self.live.get(key).and_then(|live| live.instance)
            && let Some(to) = self.router.get(instance).map(|i| i.vm.clone())
        {
            let kind = EventKind::Retried { service, to, why, left };
            cx.note(Some(request), Some(rank), kind);
        }
    }

    /// Sends a call elsewhere that a node turned away before its upstream heard of it.
    ///
    /// This is no retry, as nothing has run; a bound on moves keeps a call from wandering about
    /// while every instance is full.
    pub(crate) fn move_on(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Arrived>,
        reason: Refusal,
        wait: Option<Duration>,
        by: VmName,
    ) {
        let has_time = call.context().deadline > cx.now;
        let live = &mut self.live[key];
        let is_elsewhere = reason.is_retryable_elsewhere() || reason == Refusal::UnknownService;
        if !has_time || live.moves >= MAX_MOVES || !is_elsewhere {
            let not_run = call.refuse(reason, wait, by);
            return self.finish(cx, key, Outcome::NotRun(not_run));
        }
        live.moves += 1;
        let avoid = live.instance;
        let is_full = matches!(reason, Refusal::QueueFull | Refusal::Overload);
        if is_full {
            self.note_own_load();
            let random = self.random();
            let choice = self.router.choose_with_room(cx.now, call.service(), avoid, random);
            let InstanceChoice::Send(instance) = choice else {
                let not_run = call.refuse(reason, wait, by);
                return self.finish(cx, key, Outcome::NotRun(not_run));
            };
            self.note_moved(cx, &call, by, reason);
            return self.send_to(cx, key, call, instance);
        }
        self.note_moved(cx, &call, by, reason);
        self.send_anywhere(cx, key, call, avoid);
    }

    fn note_moved(&self, cx: &mut Cx<'_>, call: &Call<Arrived>, by: VmName, reason: Refusal) {
        let (request, rank) = (call.context().request_id, call.context().rank.clone());
        let kind = EventKind::Moved { service: call.service().clone(), from: by, reason };
        cx.note(Some(request), Some(rank), kind);
    }

    /// Brings the own instance's entry in the routes up to the state of the own gate.
    fn note_own_load(&mut self) {
        let (in_flight, queued) = (self.gate.in_flight(), self.gate.queued());
        let load = gate_load(in_flight, queued, self.gate.limit());
        self.router.set_local_load(load, in_flight as u32);
    }

    /// Treats every call at `instance` as lost, because its connection is replaced.
    pub(crate) fn lose_sent_to(&mut self, cx: &mut Cx<'_>, instance: InstanceKey) {
        let lost: Vec<(CallKey, u32)> = self
            .live
            .iter()
            .filter(|(_, live)| {
                live.instance == Some(instance) && matches!(live.stage, Stage::Away(_))
            })
            .map(|(key, live)| (key, live.attempt))
            .collect();
        for (key, attempt) in lost {
            cx.out.push(Output::CancelSend { call: key, attempt });
            self.peer_done(cx, key, attempt, Err(crate::engine::PeerFault::Lost));
        }
    }
}

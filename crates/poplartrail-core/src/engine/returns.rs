//! Handles the results of dispatched and sent calls: answers, refusals and failures.

use std::time::Duration;

use crate::{
    call::{
        Answer, Arrived, Call, Forwarded, Idempotency, NotExecuted, Outcome, Refusal, UnknownReason,
    },
    engine::{
        CallKey, Calls, Output, PeerFault, PeerOutcome, UpstreamFault, active_call::Stage,
        calls::DecisionContext, refusals::default_retry_after,
    },
    gate::{Completion, GateDecision, Permit, UpstreamOutcome},
    route::{GateReport, InstanceKey},
};

/// Time for which no call is dispatched after a connection to the upstream failed.
const UPSTREAM_CONNECT_BACKOFF: Duration = Duration::from_millis(100);

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;

impl Calls {
    /// Carries out decisions of the gate.
    pub(crate) fn apply_gate_decisions(
        &mut self,
        cx: &mut DecisionContext<'_>,
        decisions: Vec<GateDecision>,
    ) {
        for decision in decisions {
            match decision {
                GateDecision::Dispatch(key, permit) => self.dispatch(cx, key, permit),
                GateDecision::Refuse(key, reason) => self.refuse_queued(cx, key, reason),
            }
        }
    }

    fn dispatch(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, permit: Permit) {
        let Some(call) = self.dequeue(key) else { return };
        cx.out.push(Output::Dispatch {
            call: key,
            instance: self.upstream_instance.clone(),
            context: call.context().clone(),
            payload: call.payload().clone(),
        });
        let active_call = &mut self.active_calls[key];
        active_call.permit = permit;
        active_call.stage = Stage::Running(call.dispatch(cx.now));
    }

    fn refuse_queued(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, reason: Refusal) {
        let Some(call) = self.dequeue(key) else { return };
        if reason == Refusal::QueueFull {
            self.record_spent_limit(cx, &call);
        }
        if let Idempotency::Keyed(idempotency_key) = call.context().idempotency {
            self.cancel_key(idempotency_key);
        }
        if self.active_calls[key].is_routed() {
            let call = call.undo_admission();
            let retry_after = self.retry_after_for(reason);
            return self.reroute(cx, key, call, reason, retry_after, self.local_member.vm.clone());
        }
        let is_entry = self.active_calls[key].is_entry();
        let may_retry = is_entry
            && reason.is_retryable_elsewhere()
            && call.context().idempotency.key().is_none();
        if may_retry {
            let call = call.undo_admission();
            return self.retry(cx, key, call, "the gate refused it", |calls, call| {
                Outcome::NotRun(calls.refuse(call, reason))
            });
        }
        let not_run =
            call.refuse(reason, self.retry_after_for(reason), self.local_member.vm.clone());
        self.finish(cx, key, Outcome::NotRun(not_run));
    }

    fn cancel_key(&mut self, idempotency_key: crate::keys::IdempotencyKey) {
        self.ledger.cancel(idempotency_key);
        self.running_keys.remove(&idempotency_key);
    }

    /// Handles the upstream's answer, or the reason why there is none.
    pub(crate) fn handle_upstream_result(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        result: Result<Answer, UpstreamFault>,
    ) {
        if !matches!(result, Err(UpstreamFault::NotConnected | UpstreamFault::Rejected)) {
            let has_succeeded =
                result.as_ref().is_ok_and(|answer| answer.status < MIN_FAILURE_STATUS);
            self.observe_goodput(cx, key, has_succeeded);
        }
        let call = match self.begin_transition(key) {
            Some(Stage::Running(call)) => call,
            Some(other) => {
                self.active_calls[key].stage = other;
                return;
            }
            None => return,
        };
        if !matches!(result, Err(UpstreamFault::NotConnected | UpstreamFault::Lost)) {
            self.rejections.record(cx.now, matches!(result, Err(UpstreamFault::Rejected)));
        }
        let upstream_outcome = match &result {
            Ok(answer) if answer.is_overload() => UpstreamOutcome::Overloaded,
            Ok(_) => UpstreamOutcome::Answered,
            Err(UpstreamFault::Rejected) => UpstreamOutcome::Overloaded,
            Err(_) => UpstreamOutcome::Lost,
        };
        self.release_permit(cx, key, call.state().dispatched_at, upstream_outcome);
        match result {
            Ok(answer) => {
                if let Idempotency::Keyed(idempotency_key) = call.context().idempotency {
                    self.ledger.record_answer(idempotency_key, answer.clone());
                    self.running_keys.remove(&idempotency_key);
                }
                let outcome = call.answer(answer);
                self.finish(cx, key, outcome);
            }
            Err(UpstreamFault::NotConnected) => {
                self.upstream_down_until = cx.now + UPSTREAM_CONNECT_BACKOFF;
                let call = call.undo_dispatch(NotExecuted::no_connection());
                self.active_calls[key].stage = Stage::Queued(call);
                self.refuse_queued(cx, key, Refusal::Unsent);
            }
            Err(UpstreamFault::Rejected) => {
                let call = call.undo_dispatch(NotExecuted::rejected_by_upstream());
                self.handle_upstream_rejection(cx, key, call.undo_admission());
            }
            Err(UpstreamFault::Lost) => match call.undo_dispatch_if_idempotent() {
                Ok(call) => self.retry_lost(cx, key, call),
                Err(call) => {
                    let outcome = call.end_unknown(UnknownReason::AnswerLost);
                    self.finish_lost(cx, key, outcome);
                }
            },
        }
    }

    /// Returns the permit of a call dispatched at `dispatched_at`, and reports its times and
    /// outcome to the gate.
    pub(crate) fn release_permit(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        dispatched_at: crate::time::Time,
        outcome: UpstreamOutcome,
    ) {
        let Some(active_call) = self.active_calls.get_mut(key) else { return };
        let open_time = if active_call.children > 0 {
            cx.now.since(active_call.children_since)
        } else {
            Default::default()
        };
        let hold_time = cx.now.since(dispatched_at);
        let self_time = hold_time.saturating_sub(active_call.children_time + open_time);
        let (rank, permit) = (active_call.rank, active_call.permit);
        let completion = Completion { hold_time, self_time, rank, permit, outcome };
        let mut decisions = Vec::new();
        self.gate.complete(cx.now, completion, &mut decisions);
        self.apply_gate_decisions(cx, decisions);
    }

    /// Handles a call that the upstream rejected.
    ///
    /// Sending it again counts as a retry, because the upstream has spent work on the rejection.
    fn handle_upstream_rejection(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Arrived>,
    ) {
        let reason = Refusal::Rejected;
        if self.active_calls[key].is_entry() && call.context().idempotency.key().is_none() {
            return self.retry(cx, key, call, "the upstream rejected it", move |calls, call| {
                Outcome::NotRun(calls.refuse(call, reason))
            });
        }
        let outcome = Outcome::NotRun(self.refuse(call, reason));
        self.finish(cx, key, outcome);
    }

    fn retry_lost(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, call: Call<Arrived>) {
        if !self.active_calls[key].is_entry() {
            let unknown = call.end_unknown(UnknownReason::AnswerLost);
            return self.finish(cx, key, Outcome::Unknown(unknown));
        }
        self.retry(cx, key, call, "the answer was lost", |_, call| {
            Outcome::Unknown(call.end_unknown(UnknownReason::AnswerLost))
        });
    }

    /// Ends a call whose answer was lost, and marks its key so in the ledger.
    pub(crate) fn finish_lost(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        outcome: Outcome,
    ) {
        if let Some(idempotency_key) = self.active_calls[key].idempotency.key() {
            self.ledger.mark_answer_lost(idempotency_key);
            self.running_keys.remove(&idempotency_key);
        }
        self.finish(cx, key, outcome);
    }

    /// Handles another node's reply, or the reason why there is none.
    pub(crate) fn handle_peer_result(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        attempt: u32,
        result: Result<(PeerOutcome, GateReport), PeerFault>,
    ) {
        let Some(active_call) = self.active_calls.get(key) else { return };
        if active_call.attempt != attempt || !matches!(active_call.stage, Stage::Forwarded(_)) {
            return;
        }
        let Some(Stage::Forwarded(call)) = self.begin_transition(key) else { return };
        match result {
            Ok((outcome, report)) => self.handle_peer_reply(cx, key, call, outcome, &report),
            Err(fault) => self.handle_peer_fault(cx, key, call, fault),
        }
    }

    fn handle_peer_reply(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        outcome: PeerOutcome,
        report: &GateReport,
    ) {
        let active_call = &mut self.active_calls[key];
        active_call.budget.reclaim(active_call.carried_budget, report.unspent_retries);
        let (rank, instance) = (active_call.rank, active_call.instance);
        if let Some(instance) = instance {
            let latency = cx.now.since(call.state().forwarded_at);
            let config_version = cx.cluster.config_version();
            self.router.record_answer(cx.now, instance, rank, latency, config_version, report);
            self.ask_newer_config(cx, instance, report.config_version);
        }
        match outcome {
            PeerOutcome::Answered(answer) => {
                if let Some(instance) = instance.filter(|_| report.terms.is_none()) {
                    self.router.clear_limit(instance);
                }
                let outcome = call.answer(answer);
                self.finish(cx, key, outcome);
            }
            PeerOutcome::Unknown(reason) => self.handle_peer_unknown(cx, key, call, reason),
            PeerOutcome::NotRun { reason, retry_after, refused_by } => {
                self.observe_refusal(cx, instance, reason);
                if self.active_calls[key].is_routed() && reason != Refusal::Rejected {
                    return self.reroute(
                        cx,
                        key,
                        call.undo_forward(),
                        reason,
                        retry_after,
                        refused_by,
                    );
                }
                let has_naive_retries = !self.options.mechanisms.has_request_retry_budget;
                let may_retry = call.context().idempotency.key().is_none()
                    && (reason.is_retryable_elsewhere()
                        || (has_naive_retries && reason.is_temporary()));
                if may_retry {
                    let otherwise = move |_: &Self, call: Call<Arrived>| {
                        Outcome::NotRun(call.refuse(reason, retry_after, refused_by))
                    };
                    return self.retry(
                        cx,
                        key,
                        call.undo_forward(),
                        "another node refused it",
                        otherwise,
                    );
                }
                let not_run = call.not_run(reason, retry_after, refused_by);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
        }
    }

    /// Updates the router from what a refusal implies about the instance.
    fn observe_refusal(
        &mut self,
        cx: &DecisionContext<'_>,
        instance: Option<InstanceKey>,
        reason: Refusal,
    ) {
        let Some(instance) = instance else { return };
        match reason {
            Refusal::Unsent | Refusal::Starting => self.router.record_failure(cx.now, instance),
            // The VM now belongs to another service, and announces itself again under that one.
            Refusal::UnknownService => self.router.mark_draining(instance),
            _ => {}
        }
    }

    fn handle_peer_unknown(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        reason: UnknownReason,
    ) {
        let is_lost = reason == UnknownReason::AnswerLost
            && call.context().idempotency == Idempotency::Idempotent;
        if is_lost {
            let otherwise =
                move |_: &Self, call: Call<Arrived>| Outcome::Unknown(call.end_unknown(reason));
            return self.retry(cx, key, call.undo_forward(), "the answer was lost", otherwise);
        }
        let outcome = call.end_unknown(reason);
        self.finish(cx, key, outcome);
    }

    fn handle_peer_fault(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        fault: PeerFault,
    ) {
        let active_call = &self.active_calls[key];
        let (carried_budget, instance) = (active_call.carried_budget, active_call.instance);
        if let Some(instance) = instance {
            self.router.record_lost(cx.now, instance, true);
        }
        let may_run_again = call.context().idempotency != Idempotency::AtMostOnce;
        if fault == PeerFault::Lost && !may_run_again {
            let outcome = call.end_unknown(UnknownReason::AnswerLost);
            return self.finish(cx, key, outcome);
        }
        let call = call.undo_forward();
        if fault == PeerFault::Unsent && self.active_calls[key].is_routed() {
            let vm = self.local_member.vm.clone();
            return self.reroute(
                cx,
                key,
                call,
                Refusal::Unsent,
                default_retry_after(Refusal::Unsent),
                vm,
            );
        }
        let is_keyed = call.context().idempotency.key().is_some();
        let cause = match fault {
            PeerFault::Unsent => {
                self.active_calls[key].budget.reclaim(carried_budget, carried_budget);
                "no connection could be opened"
            }
            PeerFault::Lost => "the connection was lost",
        };
        // A keyed call goes to the same home again, which runs it at most once.
        self.retry(cx, key, call, cause, move |calls, call| match fault {
            PeerFault::Unsent if !is_keyed => {
                Outcome::NotRun(calls.refuse(call, Refusal::NoInstance))
            }
            PeerFault::Unsent => Outcome::Unknown(call.end_unknown(UnknownReason::HomeUnreachable)),
            PeerFault::Lost => Outcome::Unknown(call.end_unknown(UnknownReason::AnswerLost)),
        });
    }

    fn ask_newer_config(
        &mut self,
        cx: &mut DecisionContext<'_>,
        instance: InstanceKey,
        config_version: u64,
    ) {
        if cx.cluster.should_ask_config(cx.now, config_version)
            && let Some(instance) = self.router.get(instance)
        {
            let known_version = cx.cluster.config_version();
            cx.out.push(Output::AskConfig {
                addr: instance.addr,
                vm: instance.vm.clone(),
                known_version,
            });
        }
    }
}

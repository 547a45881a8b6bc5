//! What happens when an upstream or another node answers, or fails to.

use std::time::Duration;

use crate::{
    call::{
        Answer, Arrived, Call, Forwarded, Idempotency, NotExecuted, Outcome, Refusal, UnknownReason,
    },
    engine::{
        CallKey, Calls, Output, PeerFault, PeerOutcome, UpstreamFault, calls::Cx, live::Stage,
        refusals::wait_after,
    },
    gate::{Completion, GateDecision, Permit, UpstreamOutcome},
    route::{GateReport, InstanceKey},
};

/// Time for which no call goes to an upstream that took no connection.
const UPSTREAM_PAUSE: Duration = Duration::from_millis(100);

/// First status that tells of a failure on the upstream's side.
const FIRST_FAILURE: u16 = 500;

impl Calls {
    /// Carries out what the gate decided.
    pub(crate) fn take_steps(&mut self, cx: &mut Cx<'_>, steps: Vec<GateDecision>) {
        for step in steps {
            match step {
                GateDecision::Dispatch(key, place) => self.dispatch(cx, key, place),
                GateDecision::Refuse(key, reason) => self.refuse_waiting(cx, key, reason),
            }
        }
    }

    fn dispatch(&mut self, cx: &mut Cx<'_>, key: CallKey, place: Permit) {
        let Some(call) = self.take_waiting(key) else { return };
        cx.out.push(Output::Dispatch {
            call: key,
            instance: self.instance_name.clone(),
            context: call.context().clone(),
            payload: call.payload().clone(),
        });
        let live = &mut self.live[key];
        live.place = place;
        live.stage = Stage::Running(call.dispatch(cx.now));
    }

    fn refuse_waiting(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: Refusal) {
        let Some(call) = self.take_waiting(key) else { return };
        if let Idempotency::Keyed(id) = call.context().idempotency {
            self.forget_unrun(id);
        }
        if self.live[key].is_routed() {
            let call = call.undo_admission();
            let wait = self.wait_after(reason);
            return self.move_on(cx, key, call, reason, wait, self.me.vm.clone());
        }
        let is_entry = self.live[key].is_entry();
        let may_move = is_entry
            && reason.is_retryable_elsewhere()
            && call.context().idempotency.key().is_none();
        if may_move {
            let call = call.undo_admission();
            return self.send_again(cx, key, call, "its gate was full", |calls, call| {
                Outcome::NotRun(calls.refuse(call, reason))
            });
        }
        let not_run = call.refuse(reason, self.wait_after(reason), self.me.vm.clone());
        self.finish(cx, key, Outcome::NotRun(not_run));
    }

    fn forget_unrun(&mut self, id: crate::keys::IdempotencyKey) {
        self.ledger.cancel(id);
        self.running_keys.remove(&id);
    }

    /// Takes in the upstream's answer, or the news that there will be none.
    pub(crate) fn upstream_done(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        result: Result<Answer, UpstreamFault>,
    ) {
        if !matches!(result, Err(UpstreamFault::NotConnected | UpstreamFault::Rejected)) {
            let has_succeeded = result.as_ref().is_ok_and(|answer| answer.status < FIRST_FAILURE);
            self.note_goodput(cx, key, has_succeeded);
        }
        let call = match self.take_stage(key) {
            Some(Stage::Running(call)) => call,
            Some(other) => {
                self.live[key].stage = other;
                return;
            }
            None => return,
        };
        let ending = match &result {
            Ok(answer) if answer.is_overload() => UpstreamOutcome::Overloaded,
            Ok(_) => UpstreamOutcome::Answered,
            Err(UpstreamFault::Rejected) => UpstreamOutcome::Overloaded,
            Err(_) => UpstreamOutcome::Lost,
        };
        self.complete(cx, key, call.state().at, ending);
        match result {
            Ok(answer) => {
                if let Idempotency::Keyed(id) = call.context().idempotency {
                    self.ledger.finish(id, answer.clone());
                    self.running_keys.remove(&id);
                }
                let outcome = call.answer(answer);
                self.finish(cx, key, outcome);
            }
            Err(UpstreamFault::NotConnected) => {
                self.upstream_down_until = cx.now + UPSTREAM_PAUSE;
                let call = call.undo_dispatch(NotExecuted::no_connection());
                self.live[key].stage = Stage::Waiting(call);
                self.refuse_waiting(cx, key, Refusal::Unsent);
            }
            Err(UpstreamFault::Rejected) => {
                let call = call.undo_dispatch(NotExecuted::rejected_by_upstream());
                self.upstream_rejected(cx, key, call.undo_admission());
            }
            Err(UpstreamFault::Lost) => match call.undo_dispatch_if_idempotent() {
                Ok(call) => self.run_again(cx, key, call),
                Err(call) => {
                    let outcome = call.end_unknown(UnknownReason::AnswerLost);
                    self.finish_lost(cx, key, outcome);
                }
            },
        }
    }

    /// Frees the place of a call that ran since `at`, and tells the gate how it went.
    pub(crate) fn complete(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        at: crate::time::Time,
        ending: UpstreamOutcome,
    ) {
        let Some(live) = self.live.get_mut(key) else { return };
        let open =
            if live.children > 0 { cx.now.since(live.children_since) } else { Default::default() };
        let hold = cx.now.since(at);
        let own = hold.saturating_sub(live.children_time + open);
        let done =
            Completion { hold_time: hold, self_time: own, permit: live.place, outcome: ending };
        let mut steps = Vec::new();
        self.gate.complete(cx.now, done, &mut steps);
        self.take_steps(cx, steps);
    }

    /// Takes back a call that reached the upstream and was turned away there.
    ///
    /// It counts as a retry: the upstream has had the work of refusing it.
    fn upstream_rejected(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>) {
        let reason = Refusal::Rejected;
        if self.live[key].is_entry() && call.context().idempotency.key().is_none() {
            return self.send_again(cx, key, call, "its upstream was full", move |calls, call| {
                Outcome::NotRun(calls.refuse(call, reason))
            });
        }
        let outcome = Outcome::NotRun(self.refuse(call, reason));
        self.finish(cx, key, outcome);
    }

    fn run_again(&mut self, cx: &mut Cx<'_>, key: CallKey, call: Call<Arrived>) {
        if !self.live[key].is_entry() {
            let unknown = call.end_unknown(UnknownReason::AnswerLost);
            return self.finish(cx, key, Outcome::Unknown(unknown));
        }
        self.send_again(cx, key, call, "its answer was lost", |_, call| {
            Outcome::Unknown(call.end_unknown(UnknownReason::AnswerLost))
        });
    }

    /// Ends a keyed call whose answer was lost; its key keeps that state.
    pub(crate) fn finish_lost(&mut self, cx: &mut Cx<'_>, key: CallKey, outcome: Outcome) {
        if let Some(id) = self.live[key].effect.key() {
            self.ledger.mark_answer_lost(id);
            self.running_keys.remove(&id);
        }
        self.finish(cx, key, outcome);
    }

    /// Takes in another node's answer, or the news that there will be none.
    pub(crate) fn peer_done(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        attempt: u32,
        result: Result<(PeerOutcome, GateReport), PeerFault>,
    ) {
        let Some(live) = self.live.get(key) else { return };
        if live.attempt != attempt || !matches!(live.stage, Stage::Away(_)) {
            return;
        }
        let Some(Stage::Away(call)) = self.take_stage(key) else { return };
        match result {
            Ok((outcome, report)) => self.peer_answered(cx, key, call, outcome, &report),
            Err(fault) => self.peer_failed(cx, key, call, fault),
        }
    }

    fn peer_answered(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        outcome: PeerOutcome,
        report: &GateReport,
    ) {
        let live = &mut self.live[key];
        live.budget.reclaim(live.carried, report.unspent);
        let (rank, instance) = (live.rank, live.instance);
        if let Some(instance) = instance {
            let latency = cx.now.since(call.state().at);
            let config = cx.keeper.config_version();
            self.router.record_answer(cx.now, instance, rank, latency, config, report);
            self.ask_newer_config(cx, instance, report.config_version);
        }
        match outcome {
            PeerOutcome::Answered(answer) => {
                let outcome = call.answer(answer);
                self.finish(cx, key, outcome);
            }
            PeerOutcome::Unknown(doubt) => self.peer_in_doubt(cx, key, call, doubt),
            PeerOutcome::NotRun { reason, retry_after, by } => {
                self.note_refusal(cx, instance, reason);
                if self.live[key].is_routed() && reason != Refusal::Rejected {
                    return self.move_on(cx, key, call.undo_forward(), reason, retry_after, by);
                }
                let is_naive = !self.options.mechanisms.has_request_retry_budget;
                let may_move = call.context().idempotency.key().is_none()
                    && (reason.is_retryable_elsewhere() || (is_naive && reason.is_temporary()));
                if may_move {
                    let otherwise = move |_: &Self, call: Call<Arrived>| {
                        Outcome::NotRun(call.refuse(reason, retry_after, by))
                    };
                    return self.send_again(
                        cx,
                        key,
                        call.undo_forward(),
                        "it was refused",
                        otherwise,
                    );
                }
                let not_run = call.not_run(reason, retry_after, by);
                self.finish(cx, key, Outcome::NotRun(not_run));
            }
        }
    }

    /// Takes in what a refusal says about the instance itself.
    fn note_refusal(&mut self, cx: &Cx<'_>, instance: Option<InstanceKey>, reason: Refusal) {
        let Some(instance) = instance else { return };
        match reason {
            Refusal::Unsent | Refusal::Starting => self.router.record_failure(cx.now, instance),
            // The VM has passed to another service, and announces itself anew.
            Refusal::UnknownService => self.router.mark_draining(instance),
            _ => {}
        }
    }

    fn peer_in_doubt(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        doubt: UnknownReason,
    ) {
        let is_lost = doubt == UnknownReason::AnswerLost
            && call.context().idempotency == Idempotency::Idempotent;
        if is_lost {
            let otherwise =
                move |_: &Self, call: Call<Arrived>| Outcome::Unknown(call.end_unknown(doubt));
            return self.send_again(cx, key, call.undo_forward(), "its answer was lost", otherwise);
        }
        let outcome = call.end_unknown(doubt);
        self.finish(cx, key, outcome);
    }

    fn peer_failed(
        &mut self,
        cx: &mut Cx<'_>,
        key: CallKey,
        call: Call<Forwarded>,
        fault: PeerFault,
    ) {
        let live = &self.live[key];
        let (carried, instance) = (live.carried, live.instance);
        if let Some(instance) = instance {
            self.router.record_lost(cx.now, instance, true);
        }
        let may_run_again = call.context().idempotency != Idempotency::AtMostOnce;
        if fault == PeerFault::Lost && !may_run_again {
            let outcome = call.end_unknown(UnknownReason::AnswerLost);
            return self.finish(cx, key, outcome);
        }
        let call = call.undo_forward();
        if fault == PeerFault::Unsent && self.live[key].is_routed() {
            let vm = self.me.vm.clone();
            return self.move_on(cx, key, call, Refusal::Unsent, wait_after(Refusal::Unsent), vm);
        }
        let is_once = call.context().idempotency.key().is_some();
        let why = match fault {
            PeerFault::Unsent => {
                self.live[key].budget.reclaim(carried, carried);
                "no connection could be made"
            }
            PeerFault::Lost => "its connection was lost",
        };
        // The same key goes to the same home again, which runs it at most once.
        self.send_again(cx, key, call, why, move |calls, call| match fault {
            PeerFault::Unsent if !is_once => {
                Outcome::NotRun(calls.refuse(call, Refusal::NoInstance))
            }
            PeerFault::Unsent => Outcome::Unknown(call.end_unknown(UnknownReason::HomeUnreachable)),
            PeerFault::Lost => Outcome::Unknown(call.end_unknown(UnknownReason::AnswerLost)),
        });
    }

    fn ask_newer_config(&mut self, cx: &mut Cx<'_>, instance: InstanceKey, config: u64) {
        if cx.keeper.wants_config(cx.now, config)
            && let Some(instance) = self.router.get(instance)
        {
            cx.out.push(Output::AskConfig { addr: instance.addr, vm: instance.vm.clone() });
        }
    }
}

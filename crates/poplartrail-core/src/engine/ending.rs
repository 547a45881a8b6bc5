//! Ends calls: replies, expired deadlines, callers that left, shutdown.

use std::time::Duration;

use crate::{
    call::{Idempotency, Outcome, Refusal, RetryBudget, Unknown, UnknownReason},
    engine::{
        CallKey, Calls, EventKind, Origin, Output,
        active_call::{ActiveCall, Stage},
        calls::DecisionContext,
    },
    gate::UpstreamOutcome,
    names::VmName,
    policy::RankIndex,
    route::GateReport,
    time::Time,
};

/// Time past the deadline for which a keyed call may run on, so that its outcome becomes known.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Maximum time that a refusal takes to the node that sent the call: one way between availability
/// zones, and a scheduling delay on a busy processor at both ends.
const REFUSAL_TRANSIT_TIME: Duration = Duration::from_millis(20);

/// Smallest load that a gate reports while its upstream turns calls away or has got all the calls
/// that it takes at present, in units of 1/1024 of its limit. As reported loads age, the instance
/// counts as full for a second after each report.
const SHEDDING_LOAD: u16 = 2 * 1024;

/// Returns the calls at a gate in units of 1/1024 of its limit.
fn gate_load(in_flight: usize, queued: usize, limit: usize) -> u16 {
    let load = (in_flight + queued) as f64 / limit.max(1) as f64;
    (load * 1024.0).min(f64::from(u16::MAX)) as u16
}

impl Calls {
    /// Ends a call, and replies to its caller and to all calls that wait for its outcome.
    pub(crate) fn finish(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, outcome: Outcome) {
        let Some(active_call) = self.active_calls.remove(key) else { return };
        self.settle_budget(cx.now, &active_call);
        self.record_outcome(cx, &active_call, &outcome);
        for follower in self.followers.remove(&key).unwrap_or_default() {
            self.finish_follower(cx, follower, &outcome);
        }
        if let Some(reply_to) = active_call.reply_to {
            self.awaited_replies.remove(&reply_to);
            let report = self.gate_report(cx, active_call.rank, active_call.budget);
            cx.out.push(Output::Reply { reply_to, outcome, report });
        }
    }

    /// Returns unspent retries to the parent call, or to the cache for repeats of the request.
    fn settle_budget(&mut self, now: Time, active_call: &ActiveCall) {
        match active_call.origin {
            Origin::Upstream { parent: Some(parent) } => {
                if let Some(parent) = self.active_calls.get_mut(parent) {
                    parent.end_child(now);
                    parent.budget.reclaim(active_call.lent_budget, active_call.budget);
                }
            }
            Origin::Caller { .. } if active_call.idempotency == Idempotency::Idempotent => {
                self.retry_budgets.release(active_call.request_id, active_call.budget);
            }
            _ => {}
        }
    }

    fn finish_follower(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, outcome: &Outcome) {
        let Some(Stage::Following(call)) = self.begin_transition(key) else { return };
        let outcome = match outcome {
            Outcome::Answered(answer) => call.replay_answer(answer.clone()),
            Outcome::NotRun(not_run) => {
                let (reason, wait) = (not_run.reason(), not_run.retry_after());
                Outcome::NotRun(call.refuse(reason, wait, not_run.refused_by().clone()))
            }
            Outcome::Unknown(unknown) => Outcome::Unknown(call.end_unknown(unknown.reason)),
        };
        self.finish(cx, key, outcome);
    }

    fn record_outcome(
        &mut self,
        cx: &mut DecisionContext<'_>,
        active_call: &ActiveCall,
        outcome: &Outcome,
    ) {
        let rank = Some(self.policy.ranks.get(active_call.rank).name.clone());
        let kind = match outcome {
            Outcome::Answered(_) => match self.lateness(cx.now, active_call) {
                Some(elapsed) => EventKind::Late { vm: self.last_vm(active_call), elapsed },
                None => return,
            },
            Outcome::NotRun(not_run) => EventKind::Refused {
                reason: not_run.reason(),
                refused_by: not_run.refused_by().clone(),
                share: self.path_share(cx.now, active_call.rank).fraction(),
            },
            Outcome::Unknown(Unknown { reason: UnknownReason::CallerLeft }) => {
                EventKind::CallerLeft
            }
            Outcome::Unknown(unknown) => self.outcome_unknown(cx.now, active_call, unknown.reason),
        };
        cx.record_event(Some(active_call.request_id), rank, kind);
    }

    fn outcome_unknown(
        &self,
        now: Time,
        active_call: &ActiveCall,
        reason: UnknownReason,
    ) -> EventKind {
        EventKind::OutcomeUnknown {
            reason: reason.to_string(),
            vm: self.last_vm(active_call),
            elapsed: now.since(active_call.arrived_at),
        }
    }

    /// Returns the VM of the instance that the call was sent to, or the local VM.
    fn last_vm(&self, active_call: &ActiveCall) -> VmName {
        let instance = active_call.instance.and_then(|instance| self.router.get(instance));
        instance.map_or_else(|| self.local_member.vm.clone(), |instance| instance.vm.clone())
    }

    /// Returns how long a request took that began on this node, if it exceeded the target of its
    /// rank.
    fn lateness(&self, now: Time, active_call: &ActiveCall) -> Option<Duration> {
        let is_root_call = matches!(active_call.origin, Origin::Routed { is_nested: false, .. });
        let elapsed = now.since(active_call.arrived_at);
        (is_root_call && elapsed > self.policy.ranks.get(active_call.rank).target)
            .then_some(elapsed)
    }

    /// Whether other nodes should stop sending calls to this one.
    fn is_draining(&self, cx: &DecisionContext<'_>) -> bool {
        let is_node_draining =
            if self.is_hosted { cx.phase.is_closing() } else { cx.phase.is_draining() };
        is_node_draining || self.upstream_refusal == Some(Refusal::Draining)
    }

    /// Returns the load that the node reports, in units of 1/1024 of the gate's limit. An upstream
    /// that turns calls away, or takes no more of them at present, counts as full.
    pub(crate) fn load(&self, now: Time) -> u16 {
        let load = gate_load(self.gate.in_flight(), self.gate.queued(), self.gate.limit());
        match self.gate.used_rate(now) {
            Some(used) if !self.rejections.is_shedding(now) => load.max((used * 1024.0) as u16),
            _ => load.max(SHEDDING_LOAD),
        }
    }

    /// Returns the state of the gate, which travels back with a reply.
    pub(crate) fn gate_report(
        &mut self,
        cx: &DecisionContext<'_>,
        rank: RankIndex,
        unspent_retries: RetryBudget,
    ) -> GateReport {
        let load = self.load(cx.now);
        // A gate that does not divide its capacity has no shares of other ranks to report.
        let reported = if self.options.divides_capacity { self.policy.ranks.len() } else { 0 };
        let ranks = (0..reported).map(|rank| RankIndex(rank as u8));
        let shares = ranks.map(|rank| self.path_share(cx.now, rank)).collect();
        GateReport {
            shares,
            share: self.path_share(cx.now, rank),
            load,
            is_draining: self.is_draining(cx),
            unspent_retries,
            config_version: cx.cluster.config_version(),
            terms: self.upstream_terms(cx.now),
        }
    }

    /// Ends a call whose deadline has passed.
    pub(crate) fn expire(&mut self, cx: &mut DecisionContext<'_>, key: CallKey) {
        let Some(active_call) = self.active_calls.get(key) else { return };
        if self.expires_at(active_call) > cx.now {
            return;
        }
        match &active_call.stage {
            Stage::Queued(_) => self.expire_queued(cx, key),
            Stage::Following(_) => self.expire_following(cx, key),
            Stage::Running(_) | Stage::Forwarded(_) => {
                self.abandon(cx, key, UnknownReason::DeadlinePassed);
            }
            Stage::InTransition => debug_assert!(false, "no call stays in transition"),
        }
    }

    /// Returns the time at which a call ends if nothing else happens to it.
    ///
    /// On a hosted node, a queued call of another node ends [`REFUSAL_TRANSIT_TIME`] before its
    /// deadline, so that its sender still learns in time that it has not run.
    fn expires_at(&self, active_call: &ActiveCall) -> Time {
        let waits_for_peer = matches!(
            (&active_call.stage, &active_call.origin),
            (Stage::Queued(_), Origin::Peer { .. })
        );
        if self.is_hosted && waits_for_peer {
            return active_call.deadline - REFUSAL_TRANSIT_TIME;
        }
        active_call.deadline
    }

    /// Sets the timer of a queued call that ends before its deadline.
    pub(crate) fn set_queue_timer(&mut self, key: CallKey) {
        let Some(active_call) = self.active_calls.get(key) else { return };
        let end = self.expires_at(active_call);
        if end < active_call.deadline {
            self.timers.set(end, key);
        }
    }

    /// Refuses every queued call because the node or its upstream is draining.
    pub(crate) fn refuse_all_queued(&mut self, cx: &mut DecisionContext<'_>) {
        let mut decisions = Vec::new();
        self.gate.refuse_queued(Refusal::Draining, &mut decisions);
        self.apply_gate_decisions(cx, decisions);
    }

    fn expire_queued(&mut self, cx: &mut DecisionContext<'_>, key: CallKey) {
        self.gate.cancel(key);
        let decisions = vec![crate::gate::GateDecision::Refuse(key, Refusal::TooLate)];
        self.apply_gate_decisions(cx, decisions);
    }

    fn expire_following(&mut self, cx: &mut DecisionContext<'_>, key: CallKey) {
        if let Some(Stage::Following(call)) = self.begin_transition(key) {
            let unknown = call.end_unknown(UnknownReason::StillRunning);
            self.finish(cx, key, Outcome::Unknown(unknown));
        }
    }

    /// Ends a call for which nobody waits any longer. A running call may be detached instead, so
    /// that its outcome still becomes known.
    pub(crate) fn abandon(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        reason: UnknownReason,
    ) {
        let Some(active_call) = self.active_calls.get(key) else { return };
        match &active_call.stage {
            Stage::Queued(_) => self.expire_queued(cx, key),
            Stage::Following(_) => self.expire_following(cx, key),
            Stage::Running(_) => self.abandon_running(cx, key, reason),
            Stage::Forwarded(_) => self.abandon_forwarded(cx, key, reason),
            Stage::InTransition => {}
        }
    }

    fn abandon_running(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        reason: UnknownReason,
    ) {
        let active_call = &self.active_calls[key];
        // A detached call has no reply handle.
        let has_grace_ended =
            active_call.reply_to.is_none() || cx.now >= active_call.deadline + OUTCOME_GRACE;
        if active_call.idempotency.key().is_some() && !has_grace_ended {
            return self.detach(cx, key, reason);
        }
        let has_caller_left = reason == UnknownReason::CallerLeft;
        if active_call.idempotency == Idempotency::AtMostOnce
            && active_call.reply_to.is_some()
            && has_caller_left
        {
            // Cancelling the run would only make its outcome unknown.
            return self.run_without_caller(key);
        }
        if reason == UnknownReason::DeadlinePassed {
            self.observe_goodput(cx, key, false);
        }
        let Some(Stage::Running(call)) = self.begin_transition(key) else { return };
        cx.out.push(Output::CancelDispatch { call: key });
        self.release_permit(cx, key, call.state().dispatched_at, UpstreamOutcome::Answered);
        let outcome = call.end_unknown(reason);
        self.finish_lost(cx, key, outcome);
    }

    /// Ends every call, because the process is about to exit.
    pub(crate) fn terminate(&mut self, cx: &mut DecisionContext<'_>) {
        self.refuse_all_queued(cx);
        let keys: Vec<CallKey> = self.active_calls.keys().collect();
        for key in keys {
            self.abandon(cx, key, UnknownReason::AnswerLost);
        }
    }

    /// Lets a call run to its deadline although nobody waits for its answer.
    fn run_without_caller(&mut self, key: CallKey) {
        if let Some(reply_to) = self.active_calls[key].reply_to.take() {
            self.awaited_replies.remove(&reply_to);
        }
    }

    /// Replies that the outcome of a keyed call is unknown, and lets it run on so that the ledger
    /// learns its outcome.
    fn detach(&mut self, cx: &mut DecisionContext<'_>, key: CallKey, reason: UnknownReason) {
        let active_call = &mut self.active_calls[key];
        active_call.deadline = cx.now + OUTCOME_GRACE;
        self.timers.set(active_call.deadline, key);
        let (rank, reply_to, request_id) =
            (active_call.rank, active_call.reply_to.take(), active_call.request_id);
        let kind = self.outcome_unknown(cx.now, &self.active_calls[key], reason);
        let Some(reply_to) = reply_to else { return };
        self.awaited_replies.remove(&reply_to);
        let report = self.gate_report(cx, rank, RetryBudget::default());
        let outcome = Outcome::Unknown(Unknown { reason });
        cx.record_event(Some(request_id), None, kind);
        cx.out.push(Output::Reply { reply_to, outcome, report });
    }

    fn abandon_forwarded(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        reason: UnknownReason,
    ) {
        let active_call = &self.active_calls[key];
        let (attempt, instance) = (active_call.attempt, active_call.instance);
        let Some(Stage::Forwarded(call)) = self.begin_transition(key) else { return };
        if let Some(instance) = instance {
            self.router.record_lost(cx.now, instance, false);
        }
        cx.out.push(Output::CancelSend { call: key, attempt });
        let outcome = call.end_unknown(reason);
        self.finish(cx, key, outcome);
    }
}

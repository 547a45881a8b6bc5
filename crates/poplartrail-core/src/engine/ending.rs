//! How a call ends.

use std::time::Duration;

use crate::{
    call::{Idempotency, Outcome, Refusal, RetryBudget, Unknown, UnknownReason},
    engine::{
        CallKey, Calls, EventKind, Origin, Output,
        calls::Cx,
        live::{Live, Stage},
    },
    gate::UpstreamOutcome,
    names::VmName,
    policy::RankIndex,
    route::GateReport,
    time::Time,
};

/// Time past its deadline for which a non-idempotent call may go on, so that its outcome is known.
const OUTCOME_GRACE: Duration = Duration::from_secs(30);

/// Time that a refusal may take to the node that sent the call: a way across availability zones and
/// a turn of a busy processor at both ends.
const REFUSAL_TRAVEL: Duration = Duration::from_millis(20);

/// Calls at a gate as parts of 1 024 of its limit.
pub(crate) fn gate_load(in_flight: usize, queued: usize, limit: usize) -> u16 {
    let load = (in_flight + queued) as f64 / limit.max(1) as f64;
    (load * 1024.0).min(f64::from(u16::MAX)) as u16
}

impl Calls {
    /// Ends a call and tells everybody who waits for it.
    pub(crate) fn finish(&mut self, cx: &mut Cx<'_>, key: CallKey, outcome: Outcome) {
        let Some(live) = self.live.remove(key) else { return };
        self.settle(cx.now, &live);
        self.note_outcome(cx, &live, &outcome);
        for follower in self.followers.remove(&key).unwrap_or_default() {
            self.finish_follower(cx, follower, &outcome);
        }
        if let Some(ticket) = live.ticket {
            self.tickets.remove(&ticket);
            let report = self.report(cx, live.rank, live.budget);
            cx.out.push(Output::Reply { reply_to: ticket, outcome, report });
        }
    }

    /// Returns unspent retries to where they came from.
    fn settle(&mut self, now: Time, live: &Live) {
        match live.origin {
            Origin::Upstream { parent: Some(parent) } => {
                if let Some(parent) = self.live.get_mut(parent) {
                    parent.end_child(now);
                    parent.budget.reclaim(live.lent, live.budget);
                }
            }
            Origin::Caller { .. } if live.effect == Idempotency::Idempotent => {
                self.repeats.release(live.request, live.budget);
            }
            _ => {}
        }
    }

    fn finish_follower(&mut self, cx: &mut Cx<'_>, key: CallKey, outcome: &Outcome) {
        let Some(Stage::Following(call)) = self.take_stage(key) else { return };
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

    fn note_outcome(&mut self, cx: &mut Cx<'_>, live: &Live, outcome: &Outcome) {
        let rank = Some(self.policy.ranks.get(live.rank).name.clone());
        let kind = match outcome {
            Outcome::Answered(_) => match self.lateness(cx.now, live) {
                Some(after) => EventKind::Late { at: self.place_of(live), after },
                None => return,
            },
            Outcome::NotRun(not_run) => EventKind::Refused {
                reason: not_run.reason(),
                by: not_run.refused_by().clone(),
                share: self.path_share(cx.now, live.rank).fraction(),
            },
            Outcome::Unknown(Unknown { reason: UnknownReason::CallerLeft }) => {
                EventKind::CallerLeft
            }
            Outcome::Unknown(unknown) => self.in_doubt(cx.now, live, unknown.reason),
        };
        cx.note(Some(live.request), rank, kind);
    }

    fn in_doubt(&self, now: Time, live: &Live, reason: UnknownReason) -> EventKind {
        EventKind::InDoubt {
            why: reason.to_string(),
            at: self.place_of(live),
            after: now.since(live.arrived),
        }
    }

    /// The VM that a call was sent to, or the own one.
    fn place_of(&self, live: &Live) -> VmName {
        let instance = live.instance.and_then(|instance| self.router.get(instance));
        instance.map_or_else(|| self.me.vm.clone(), |instance| instance.vm.clone())
    }

    /// How long a request took that began here, if that was more than its target.
    fn lateness(&self, now: Time, live: &Live) -> Option<Duration> {
        let begins_here = matches!(live.origin, Origin::Routed { is_nested: false, .. });
        let after = now.since(live.arrived);
        (begins_here && after > self.policy.ranks.get(live.rank).target).then_some(after)
    }

    /// Whether other nodes should send their calls elsewhere from now on.
    fn takes_no_more(&self, cx: &Cx<'_>) -> bool {
        let is_leaving =
            if self.is_site_ruled { cx.life.is_closing() } else { cx.life.is_draining() };
        is_leaving || self.upstream_closed == Some(Refusal::Draining)
    }

    /// State of the gate, to be carried back on an answer.
    pub(crate) fn report(
        &mut self,
        cx: &Cx<'_>,
        rank: RankIndex,
        unspent: RetryBudget,
    ) -> GateReport {
        let load = gate_load(self.gate.in_flight(), self.gate.queued(), self.gate.limit());
        // A gate that does not divide its capacity has nothing to tell of the other ranks.
        let told = if self.options.divides_capacity { self.policy.ranks.len() } else { 0 };
        let ranks = (0..told).map(|rank| RankIndex(rank as u8));
        let shares = ranks.map(|rank| self.path_share(cx.now, rank)).collect();
        GateReport {
            shares,
            share: self.path_share(cx.now, rank),
            load,
            is_draining: self.takes_no_more(cx),
            unspent,
            config_version: cx.keeper.config_version(),
        }
    }

    /// Ends a call whose deadline has passed.
    pub(crate) fn expire(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        let Some(live) = self.live.get(key) else { return };
        if self.lasts_until(live) > cx.now {
            return;
        }
        match &live.stage {
            Stage::Waiting(_) => self.expire_waiting(cx, key),
            Stage::Following(_) => self.expire_following(cx, key),
            Stage::Running(_) | Stage::Away(_) => {
                self.abandon(cx, key, UnknownReason::DeadlinePassed);
            }
            Stage::Moving => debug_assert!(false, "a call rests in a stage"),
        }
    }

    /// When a call ends if nothing else happens.
    ///
    /// One that waits here for another node ends a little earlier than there, so that its caller
    /// still hears that it has not run.
    fn lasts_until(&self, live: &Live) -> Time {
        let waits_for_peer =
            matches!((&live.stage, &live.origin), (Stage::Waiting(_), Origin::Peer { .. }));
        if self.is_site_ruled && waits_for_peer {
            return live.deadline - REFUSAL_TRAVEL;
        }
        live.deadline
    }

    /// Sets the timer of a call that waits in the queue.
    pub(crate) fn watch_waiting(&mut self, key: CallKey) {
        let Some(live) = self.live.get(key) else { return };
        let end = self.lasts_until(live);
        if end < live.deadline {
            self.timers.set(end, key);
        }
    }

    /// Refuses every waiting call, because the node is leaving.
    pub(crate) fn leave_queue(&mut self, cx: &mut Cx<'_>) {
        let mut steps = Vec::new();
        self.gate.refuse_queued(Refusal::Draining, &mut steps);
        self.take_steps(cx, steps);
    }

    fn expire_waiting(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        self.gate.cancel(key);
        let steps = vec![crate::gate::GateDecision::Refuse(key, Refusal::TooLate)];
        self.take_steps(cx, steps);
    }

    fn expire_following(&mut self, cx: &mut Cx<'_>, key: CallKey) {
        if let Some(Stage::Following(call)) = self.take_stage(key) {
            let unknown = call.end_unknown(UnknownReason::StillRunning);
            self.finish(cx, key, Outcome::Unknown(unknown));
        }
    }

    /// Ends a call for which nobody waits any longer.
    pub(crate) fn abandon(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: UnknownReason) {
        let Some(live) = self.live.get(key) else { return };
        match &live.stage {
            Stage::Waiting(_) => self.expire_waiting(cx, key),
            Stage::Following(_) => self.expire_following(cx, key),
            Stage::Running(_) => self.abandon_running(cx, key, reason),
            Stage::Away(_) => self.abandon_away(cx, key, reason),
            Stage::Moving => {}
        }
    }

    fn abandon_running(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: UnknownReason) {
        let live = &self.live[key];
        let is_last_look = live.ticket.is_none() || cx.now >= live.deadline + OUTCOME_GRACE;
        if live.effect.key().is_some() && !is_last_look {
            return self.detach(cx, key, reason);
        }
        let has_left = reason == UnknownReason::CallerLeft;
        if live.effect == Idempotency::AtMostOnce && live.ticket.is_some() && has_left {
            // Breaking off the run would only leave its outcome in doubt.
            return self.let_run(key);
        }
        if reason == UnknownReason::DeadlinePassed {
            self.note_goodput(cx, key, false);
        }
        let Some(Stage::Running(call)) = self.take_stage(key) else { return };
        cx.out.push(Output::CancelDispatch { call: key });
        self.complete(cx, key, call.state().at, UpstreamOutcome::Answered);
        let outcome = call.end_unknown(reason);
        self.finish_lost(cx, key, outcome);
    }

    /// Ends every call, because the process is about to end.
    pub(crate) fn end_all(&mut self, cx: &mut Cx<'_>) {
        self.leave_queue(cx);
        let keys: Vec<CallKey> = self.live.keys().collect();
        for key in keys {
            self.abandon(cx, key, UnknownReason::AnswerLost);
        }
    }

    /// Lets a call run on to its deadline although nobody waits for its answer.
    fn let_run(&mut self, key: CallKey) {
        if let Some(ticket) = self.live[key].ticket.take() {
            self.tickets.remove(&ticket);
        }
    }

    /// Tells whoever waits for a non-idempotent call, and lets it run on to learn its outcome.
    fn detach(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: UnknownReason) {
        let live = &mut self.live[key];
        live.deadline = cx.now + OUTCOME_GRACE;
        self.timers.set(live.deadline, key);
        let (rank, ticket, request) = (live.rank, live.ticket.take(), live.request);
        let kind = self.in_doubt(cx.now, &self.live[key], reason);
        let Some(ticket) = ticket else { return };
        self.tickets.remove(&ticket);
        let report = self.report(cx, rank, RetryBudget::default());
        let outcome = Outcome::Unknown(Unknown { reason });
        cx.note(Some(request), None, kind);
        cx.out.push(Output::Reply { reply_to: ticket, outcome, report });
    }

    fn abandon_away(&mut self, cx: &mut Cx<'_>, key: CallKey, reason: UnknownReason) {
        let live = &self.live[key];
        let (attempt, instance) = (live.attempt, live.instance);
        let Some(Stage::Away(call)) = self.take_stage(key) else { return };
        if let Some(instance) = instance {
            self.router.record_lost(cx.now, instance, false);
        }
        cx.out.push(Output::CancelSend { call: key, attempt });
        let outcome = call.end_unknown(reason);
        self.finish(cx, key, outcome);
    }
}

//! Decisions of a hosted node's calls: the limit that the upstream states, admission of whole
//! requests, and probes of unreachable instances.

use std::time::Duration;

use crate::{
    call::{Admitted, Arrived, Call, Refusal, ShedPosition},
    engine::{CallKey, Calls, EventKind, Output, active_call::Stage, calls::DecisionContext},
    gate::{FixedLimit, Limiter},
    names::InstanceName,
    policy::RankIndex,
    time::Time,
    upstream::{CallLimit, UpstreamIncarnation, UpstreamTerms},
};

/// Maximum difference between the deadline of a call and that of the call it is made for: each hop
/// states whole milliseconds, and a call spends up to two milliseconds on its way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);

impl Calls {
    /// Switches to hosted mode: the site's configuration sets the routes and ranks, and the
    /// upstream states the limit. Calls are refused until the upstream's first heartbeat.
    pub(crate) fn set_hosted(&mut self) {
        self.is_hosted = true;
        self.upstream_refusal = Some(Refusal::Starting);
        self.router.enable_zone_affinity_and_probes();
    }

    /// Sets the burst of this node's retry tokens for each service to its part among `nodes` nodes.
    pub(crate) fn divide_retries(&mut self, nodes: usize) {
        self.retry_tokens.set_burst(self.policy.bounds.retry_burst / nodes as f64);
    }

    /// Whether the local upstream runs a call whose deadline lies within [`DEADLINE_TOLERANCE`] of
    /// `deadline`.
    pub(crate) fn has_running_call_until(&self, deadline: Time) -> bool {
        let range = deadline - DEADLINE_TOLERANCE..=deadline + DEADLINE_TOLERANCE;
        let mut active_calls = self.active_calls.values();
        active_calls.any(|active_call| {
            matches!(active_call.stage, Stage::Running(_)) && range.contains(&active_call.deadline)
        })
    }

    /// Sets the upstream's instance and its slots, or the reason for which it takes no calls.
    pub(crate) fn set_upstream_state(&mut self, state: Result<(InstanceName, usize), Refusal>) {
        match state {
            Ok((instance, slots)) => {
                self.upstream_refusal = None;
                self.upstream_instance = Some(instance);
                self.gate.set_limiter(Limiter::Fixed(FixedLimit::new(slots)));
            }
            Err(reason) => self.upstream_refusal = Some(reason),
        }
    }

    /// Begins to dispatch to `incarnation`, which has not named a limit yet.
    pub(crate) fn begin_incarnation(&mut self, now: Time, incarnation: UpstreamIncarnation) {
        self.upstream_incarnation = Some(incarnation);
        self.call_limit = CallLimit::default();
        self.gate.set_call_rate(now, None);
    }

    /// Returns the terms of the local upstream; `None` if it names no limit and does not leave.
    pub(crate) fn upstream_terms(&self, now: Time) -> Option<UpstreamTerms> {
        let limit = self.call_limit.rate();
        let is_leaving = self.upstream_refusal == Some(Refusal::Draining);
        if limit.is_none() && !is_leaving {
            return None;
        }
        let incarnation = self.upstream_incarnation.clone()?;
        Some(UpstreamTerms { incarnation, limit, age: self.call_limit.age(now), is_leaving })
    }

    /// Records that a call is refused because the upstream has got all the calls that it takes.
    pub(crate) fn record_spent_limit(&self, cx: &mut DecisionContext<'_>, call: &Call<Admitted>) {
        let Some(limit) = self.call_limit.rate() else { return };
        if self.gate.used_rate(cx.now).is_some() {
            return;
        }
        let kind = EventKind::CallLimitSpent {
            limit,
            age: self.call_limit.age(cx.now),
            is_own: self.call_limit.is_own(),
            queued: self.gate.queued(),
        };
        let (request_id, rank) = (call.context().request_id, call.context().rank.clone());
        cx.record_event(Some(request_id), Some(rank), kind);
    }

    /// Requests probes of the instances to which no connection could be opened.
    pub(crate) fn probe_unreachable(&mut self, cx: &mut DecisionContext<'_>) {
        for (vm, addr) in self.router.poll_due_probes(cx.now) {
            cx.out.push(Output::Connect { addr, vm });
        }
    }

    /// Whether a new request may begin, given the fraction of requests that finish at present.
    ///
    /// A nested call is always admitted: refusing it would waste the work already done for its
    /// request.
    pub(crate) fn admits_request(
        &self,
        call: &Call<Arrived>,
        rank: RankIndex,
        shed_position: ShedPosition,
    ) -> bool {
        let is_nested = call.context().depth > 0;
        is_nested
            || self.goodput.get(rank.index()).is_none_or(|goodput| goodput.admits(shed_position))
    }

    /// Records how a whole request ended in the local upstream, and reports a change of the share
    /// of requests that are admitted.
    pub(crate) fn observe_goodput(
        &mut self,
        cx: &mut DecisionContext<'_>,
        key: CallKey,
        has_succeeded: bool,
    ) {
        let Some(active_call) = self.active_calls.get(key) else { return };
        let Stage::Running(call) = &active_call.stage else { return };
        if call.context().depth > 0 {
            return;
        }
        let rank = call.context().rank.clone();
        let Some(goodput) = self.goodput.get_mut(active_call.rank.index()) else { return };
        let from = goodput.share().fraction();
        goodput.observe(cx.now, has_succeeded);
        let to = goodput.share().fraction();
        if from != to {
            cx.record_event(None, Some(rank), EventKind::ShareChanged { from, to });
        }
    }
}

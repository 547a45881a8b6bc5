//! What the calls of a node on a platform do besides: the upstream's own word on its places, whole
//! requests, and instances out of reach.

use std::time::Duration;

use crate::{
    call::{Arrived, Call, Refusal, ShedPosition},
    engine::{CallKey, Calls, EventKind, Output, active_call::Stage, calls::DecisionContext},
    gate::{FixedLimit, Limiter},
    names::InstanceName,
    policy::RankIndex,
    time::Time,
};

/// Largest difference between a call's deadline and that of the call it is made for: each hop
/// states whole milliseconds, and a call takes up to a millisecond or two on its way.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(4);

impl Calls {
    /// Makes the routes and ranks of a site's configuration decide, and the upstream's own word on
    /// its places the limit.
    pub(crate) fn set_hosted(&mut self) {
        self.is_hosted = true;
        self.upstream_refusal = Some(Refusal::Starting);
        self.router.enable_zone_affinity_and_probes();
    }

    /// Allows this node its part of the retries that `nodes` nodes may cause at once.
    pub(crate) fn divide_retries(&mut self, nodes: usize) {
        self.retry_tokens.set_burst(self.policy.bounds.retry_burst / nodes as f64);
    }

    /// Whether the own upstream works on a call that ends, within a rounding of milliseconds, at
    /// `deadline`.
    pub(crate) fn has_running_call_until(&self, deadline: Time) -> bool {
        let range = deadline - DEADLINE_TOLERANCE..=deadline + DEADLINE_TOLERANCE;
        let mut active_call = self.active_calls.values();
        active_call.any(|active_call| {
            matches!(active_call.stage, Stage::Running(_)) && range.contains(&active_call.deadline)
        })
    }

    /// Sets which instance the upstream is, or why it takes no calls.
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

    /// Tries the instances to which no connection could be opened.
    pub(crate) fn probe_unreachable(&mut self, cx: &mut DecisionContext<'_>) {
        for (vm, addr) in self.router.poll_due_probes(cx.now) {
            cx.out.push(Output::Probe { addr, vm });
        }
    }

    /// Whether a request that is about to begin is among those that can be finished at present.
    ///
    /// A call of a request that others have worked on is let through: to turn it away would waste
    /// that work.
    pub(crate) fn admits_request(
        &self,
        call: &Call<Arrived>,
        rank: RankIndex,
        shed_position: ShedPosition,
    ) -> bool {
        let has_begun = call.context().depth > 0;
        has_begun
            || self.goodput.get(rank.index()).is_none_or(|goodput| goodput.admits(shed_position))
    }

    /// Notes how a whole request ended that the own upstream ran.
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

//! What the calls of a node on a platform do besides: the upstream's own word on its places, whole
//! requests, and instances out of reach.

use std::time::Duration;

use crate::{
    call::{Arrived, Call, Refusal, ShedPosition},
    engine::{CallKey, Calls, EventKind, Output, calls::Cx, live::Stage},
    gate::{FixedLimit, Limiter},
    names::InstanceName,
    policy::RankIndex,
    time::Time,
};

/// Largest difference between a call's deadline and that of the call it is made for: each hop
/// states whole milliseconds, and a call takes up to a millisecond or two on its way.
const DEADLINE_ROUNDING: Duration = Duration::from_millis(4);

impl Calls {
    /// Makes the routes and ranks of a site's configuration decide, and the upstream's own word on
    /// its places the limit.
    pub(crate) fn rule_by_site(&mut self) {
        self.is_site_ruled = true;
        self.upstream_closed = Some(Refusal::Starting);
        self.router.enable_zone_affinity_and_probes();
    }

    /// Allows this node its part of the retries that `nodes` nodes may cause at once.
    pub(crate) fn divide_retries(&mut self, nodes: usize) {
        self.ratio.set_burst(self.policy.bounds.retry_burst / nodes as f64);
    }

    /// Whether the own upstream works on a call that ends, within a rounding of milliseconds, at
    /// `deadline`.
    pub(crate) fn runs_until(&self, deadline: Time) -> bool {
        let range = deadline - DEADLINE_ROUNDING..=deadline + DEADLINE_ROUNDING;
        let mut live = self.live.values();
        live.any(|live| matches!(live.stage, Stage::Running(_)) && range.contains(&live.deadline))
    }

    /// Sets which instance the upstream is, or why it takes no calls.
    pub(crate) fn set_upstream(&mut self, state: Result<(InstanceName, usize), Refusal>) {
        match state {
            Ok((instance, slots)) => {
                self.upstream_closed = None;
                self.instance_name = Some(instance);
                self.gate.set_limiter(Limiter::Fixed(FixedLimit::new(slots)));
            }
            Err(reason) => self.upstream_closed = Some(reason),
        }
    }

    /// Tries the instances to which no connection could be opened.
    pub(crate) fn probe_unreachable(&mut self, cx: &mut Cx<'_>) {
        for (vm, to) in self.router.poll_due_probes(cx.now) {
            cx.out.push(Output::Probe { addr: to, vm });
        }
    }

    /// Whether a request that is about to begin is among those that can be finished at present.
    ///
    /// A call of a request that others have worked on is let through: to turn it away would waste
    /// that work.
    pub(crate) fn may_finish(
        &self,
        call: &Call<Arrived>,
        rank: RankIndex,
        draw: ShedPosition,
    ) -> bool {
        let has_begun = call.context().depth > 0;
        has_begun || self.goodput.get(rank.index()).is_none_or(|goodput| goodput.admits(draw))
    }

    /// Notes how a whole request ended that the own upstream ran.
    pub(crate) fn note_goodput(&mut self, cx: &mut Cx<'_>, key: CallKey, has_succeeded: bool) {
        let Some(live) = self.live.get(key) else { return };
        let Stage::Running(call) = &live.stage else { return };
        if call.context().depth > 0 {
            return;
        }
        let rank = call.context().rank.clone();
        let Some(goodput) = self.goodput.get_mut(live.rank.index()) else { return };
        let from = goodput.share().fraction();
        goodput.observe(cx.now, has_succeeded);
        let to = goodput.share().fraction();
        if from != to {
            cx.note(None, Some(rank), EventKind::ShareChanged { from, to });
        }
    }
}

//! What a hosted node learns of its upstream besides the content of its answers: from the answers
//! themselves, and from the calls of other nodes.

use crate::{
    engine::{CallKey, Event, EventKind, Node, Output},
    time::{Time, WallTime},
    upstream::{CallRate, UpstreamChange, UpstreamIncarnation, UpstreamNotice, UpstreamTerms},
};

impl Node {
    /// Applies what the upstream says of itself in its answer to `call`.
    pub(super) fn observe_notice(
        &mut self,
        now: Time,
        wall: WallTime,
        call: CallKey,
        notice: UpstreamNotice,
        out: &mut Vec<Output>,
    ) {
        // Nobody gets the answer to a call that has ended.
        let Some(dispatched_at) = self.calls.dispatched_at(call) else { return };
        let Some(hosted) = &self.hosted else { return };
        // An answer to a call of an earlier incarnation says nothing of the registered one.
        if dispatched_at < hosted.registered_at {
            return;
        }
        let from = self.calls.call_limit.rate();
        if self.calls.call_limit.observe(now, dispatched_at, notice.limit) {
            self.apply_call_limit(now, wall, from, out);
        }
        if notice.is_leaving
            && let Some(incarnation) = self.calls.upstream_incarnation.clone()
        {
            self.apply_leaving(now, wall, &incarnation, out);
        }
    }

    /// Applies what another node has heard of the upstream. An earlier process of this node may have
    /// told it.
    pub(super) fn adopt_terms(
        &mut self,
        now: Time,
        wall: WallTime,
        terms: &UpstreamTerms,
        out: &mut Vec<Output>,
    ) {
        if self.calls.upstream_incarnation.as_ref() != Some(&terms.incarnation) {
            return;
        }
        let from = self.calls.call_limit.rate();
        if let Some(limit) = terms.limit
            && self.calls.call_limit.adopt(now - terms.age, limit)
        {
            self.apply_call_limit(now, wall, from, out);
        }
        if terms.is_leaving {
            self.apply_leaving(now, wall, &terms.incarnation, out);
        }
    }

    /// Ends new calls to `incarnation`, which has stated in an answer that it is about to exit.
    fn apply_leaving(
        &mut self,
        now: Time,
        wall: WallTime,
        incarnation: &UpstreamIncarnation,
        out: &mut Vec<Output>,
    ) {
        let Some(hosted) = &mut self.hosted else { return };
        let change = hosted.upstream.apply_leaving(incarnation);
        if change == UpstreamChange::Unchanged {
            return;
        }
        let kind = EventKind::LeavingAnswered { instance: incarnation.instance.clone() };
        out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        self.handle_upstream_change(now, wall, change, out);
    }

    /// Paces the calls by the limit that has changed from `from`.
    fn apply_call_limit(
        &mut self,
        now: Time,
        wall: WallTime,
        from: Option<CallRate>,
        out: &mut Vec<Output>,
    ) {
        let to = self.calls.call_limit.rate();
        self.calls.gate.set_call_rate(now, to);
        if let Some(upstream) = &self.calls.upstream_incarnation {
            let kind = EventKind::CallLimitNamed { instance: upstream.instance.clone(), from, to };
            out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        }
        self.with_calls(now, wall, out, |calls, cx| calls.dispatch_due(cx));
    }
}

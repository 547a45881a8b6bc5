//! What a hosted node learns from the answers of its upstream besides their content.

use crate::{
    engine::{CallKey, Event, EventKind, Node, Output},
    time::Time,
    upstream::UpstreamNotice,
};

impl Node {
    /// Applies what the upstream says of itself in its answer to `call`.
    pub(super) fn observe_notice(
        &mut self,
        now: Time,
        call: CallKey,
        notice: UpstreamNotice,
        out: &mut Vec<Output>,
    ) {
        let dispatched_at = self.calls.dispatched_at(call);
        let Some(hosted) = &mut self.hosted else { return };
        // An answer to a call of an earlier incarnation says nothing of the registered one.
        if dispatched_at.is_some_and(|at| at < hosted.registered_at) {
            return;
        }
        let Some(instance) = hosted.upstream.incarnation().map(|known| known.instance.clone())
        else {
            return;
        };
        let from = hosted.call_limit.rate();
        // Of a call that has been given up it is not known when it was dispatched.
        let dispatched_at = dispatched_at.unwrap_or(Time::ZERO);
        if hosted.call_limit.observe(now, dispatched_at, notice.limit) {
            let kind = EventKind::CallLimitNamed {
                instance: instance.clone(),
                from,
                to: hosted.call_limit.rate(),
            };
            out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        }
        if notice.is_leaving && !std::mem::replace(&mut hosted.has_stated_leaving, true) {
            let kind = EventKind::LeavingAnswered { instance };
            out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        }
    }
}

//! Refusals and the retry delays that they suggest.

use std::time::Duration;

use crate::{
    call::{Arrived, Call, Context, NotRun, Outcome, Payload, Refusal, RetryBudget, UnknownReason},
    engine::{Arrival, Calls, EventKind, Origin, Output, calls::DecisionContext},
    policy::RankIndex,
    route::GateReport,
};

/// Retry delay after a refusal for overload, and upper bound of the delay computed from the queue.
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the delay computed from a limit that the upstream names, which may be a call in
/// many seconds.
const PACED_RETRY_AFTER: Duration = Duration::from_secs(5);
/// Retry delay after other temporary refusals, and lower bound of the delay computed from the
/// queue.
const SHORT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Returns the fixed retry delay for a reason, or `None` if a retry would not help.
pub(crate) fn default_retry_after(reason: Refusal) -> Option<Duration> {
    match reason {
        Refusal::Overload | Refusal::QueueFull => Some(OVERLOAD_RETRY_AFTER),
        reason if reason.is_temporary() => Some(SHORT_RETRY_AFTER),
        _ => None,
    }
}

impl Calls {
    /// Refuses a call before it is registered.
    pub(crate) fn refuse_on_arrival(
        &mut self,
        cx: &mut DecisionContext<'_>,
        arrival: &Arrival,
        reason: Refusal,
    ) {
        let kind = EventKind::RefusedOnArrival { reason, service: arrival.service.clone() };
        cx.record_event(Some(arrival.request_id), arrival.rank.clone(), kind);
        let context = Context {
            request_id: arrival.request_id,
            rank: self.policy.ranks.get(RankIndex(0)).name.clone(),
            deadline: cx.now,
            depth: 0,
            idempotency: arrival.idempotency,
            caller: None,
        };
        let call = Call::new(arrival.service.clone(), context, Payload::default());
        let outcome = self.refuse_or_unknown(call, reason);
        let unspent_retries = match arrival.origin {
            Origin::Peer { budget, .. } => budget,
            _ => RetryBudget::default(),
        };
        let report = GateReport { unspent_retries, ..GateReport::default() };
        cx.out.push(Output::Reply { reply_to: arrival.reply_to, outcome, report });
    }

    /// Refuses a call, or leaves its outcome unknown if an earlier call with the same key may have
    /// run at its home.
    pub(crate) fn refuse_or_unknown(&self, call: Call<Arrived>, reason: Refusal) -> Outcome {
        let may_have_run = call.context().idempotency.key().is_some() && reason.is_temporary();
        if may_have_run {
            return Outcome::Unknown(call.end_unknown(UnknownReason::HomeUnreachable));
        }
        Outcome::NotRun(call.refuse(
            reason,
            self.retry_after_for(reason),
            self.local_member.vm.clone(),
        ))
    }

    pub(crate) fn refuse(&self, call: Call<Arrived>, reason: Refusal) -> NotRun {
        call.refuse(reason, self.retry_after_for(reason), self.local_member.vm.clone())
    }

    /// Returns the time that a caller should wait after a refusal.
    ///
    /// On a hosted node the limit is known, so the delay for overload is the expected time until
    /// the calls queued now have been served, when there is room for the caller.
    pub(crate) fn retry_after_for(&self, reason: Refusal) -> Option<Duration> {
        match reason {
            Refusal::Unfinishable => Some(OVERLOAD_RETRY_AFTER),
            Refusal::Overload | Refusal::QueueFull | Refusal::TooLate if self.is_hosted => {
                let lowest_rank = RankIndex(self.policy.ranks.len() as u8 - 1);
                let is_paced = self.call_limit.rate().is_some();
                let max = if is_paced { PACED_RETRY_AFTER } else { OVERLOAD_RETRY_AFTER };
                Some(self.gate.expected_wait(lowest_rank).clamp(SHORT_RETRY_AFTER, max))
            }
            reason => default_retry_after(reason),
        }
    }
}

//! A call in progress and its stages.

use std::time::Duration;

use slotmap::new_key_type;

use crate::{
    call::{
        Admitted, Arrived, Call, Dispatched, Forwarded, Idempotency, RequestId, RetryBudget, Share,
    },
    engine::{Origin, ReplyHandle},
    gate::Permit,
    policy::RankIndex,
    route::InstanceKey,
    time::Time,
};

new_key_type! {
    /// Identity of a call in progress on this node.
    pub struct CallKey;
}

/// Stage of a call in progress, with the call's typestate.
#[derive(Debug)]
pub(crate) enum Stage {
    /// Waiting in the gate's queue.
    Queued(Call<Admitted>),
    /// Dispatched to the local upstream.
    Running(Call<Dispatched>),
    /// Sent to another node.
    Forwarded(Call<Forwarded>),
    /// Waiting for the outcome of an earlier call with the same key.
    Following(Call<Arrived>),
    /// Between two stages, while a transition is made. No call is left in this stage.
    InTransition,
}

/// A call in progress with its accounting.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    /// Present stage.
    pub(crate) stage: Stage,
    /// Where the reply goes; `None` once nobody waits for it.
    pub(crate) reply_to: Option<ReplyHandle>,
    /// Smallest share of the rank that gates on the path have admitted so far.
    pub(crate) admitted_share: Share,
    /// Source of the call, which also decides whether it may be rerouted or retried here.
    pub(crate) origin: Origin,
    /// Rank in the policy in force.
    pub(crate) rank: RankIndex,
    /// Whether a second run does harm, and the key that prevents it.
    pub(crate) idempotency: Idempotency,
    /// Time at which the call ends without an answer.
    pub(crate) deadline: Time,
    /// Time of arrival on this node.
    pub(crate) arrived_at: Time,
    /// Identity of the client request that this call belongs to.
    pub(crate) request_id: RequestId,
    /// Retries that the parent call has lent; what is left returns to the parent.
    pub(crate) lent_budget: RetryBudget,
    /// Retries that the call may still cause, without those that the present attempt carries.
    pub(crate) budget: RetryBudget,
    /// Retries that the present attempt carries to the other node.
    pub(crate) carried_budget: RetryBudget,
    /// Number of the present attempt; an older result is ignored.
    pub(crate) attempt: u32,
    /// Number of times that the call was sent to another instance after a refusal.
    pub(crate) reroutes: u8,
    /// Instance that the present attempt goes to, or the last one.
    pub(crate) instance: Option<InstanceKey>,
    /// Permit that the gate granted at dispatch.
    pub(crate) permit: Permit,
    /// Number of outbound calls that the upstream has in progress for this one.
    pub(crate) children: u32,
    /// Time since which at least one outbound call has been in progress.
    pub(crate) children_since: Time,
    /// Total time during which outbound calls were in progress, the present period excluded.
    pub(crate) children_time: Duration,
}

impl ActiveCall {
    /// Whether a whole request begins with this call.
    pub(crate) fn is_entry(&self) -> bool {
        matches!(self.origin, Origin::Caller { .. } | Origin::Routed { .. })
    }

    /// Whether the call came through a route of the site's configuration.
    pub(crate) fn is_routed(&self) -> bool {
        matches!(self.origin, Origin::Routed { .. })
    }

    pub(crate) fn begin_child(&mut self, now: Time) {
        if self.children == 0 {
            self.children_since = now;
        }
        self.children += 1;
    }

    pub(crate) fn end_child(&mut self, now: Time) {
        self.children = self.children.saturating_sub(1);
        if self.children == 0 {
            self.children_time += now.since(self.children_since);
        }
    }
}

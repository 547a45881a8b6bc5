//! Calls in progress.

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
    /// Key of a call in progress on this node.
    pub struct CallKey;
}

/// Where a call is.
#[derive(Debug)]
pub(crate) enum Stage {
    /// In the gate's queue.
    Queued(Call<Admitted>),
    /// In the upstream.
    Running(Call<Dispatched>),
    /// At another node.
    Forwarded(Call<Forwarded>),
    /// Behind an earlier call with the same key.
    Following(Call<Arrived>),
    /// Between two stages, while a transition runs.
    InTransition,
}

/// A call in progress with its accounting.
#[derive(Debug)]
pub(crate) struct ActiveCall {
    /// Where it is.
    pub(crate) stage: Stage,
    /// Who waits for the reply; `None` once nobody does.
    pub(crate) reply_to: Option<ReplyHandle>,
    /// Smallest share of its rank that the request has passed.
    pub(crate) admitted_share: Share,
    /// Where it came from.
    pub(crate) origin: Origin,
    /// Its rank.
    pub(crate) rank: RankIndex,
    /// Its effect.
    pub(crate) idempotency: Idempotency,
    /// Its deadline.
    pub(crate) deadline: Time,
    /// When it came.
    pub(crate) arrived_at: Time,
    /// The whole request that it belongs to.
    pub(crate) request_id: RequestId,
    /// What its parent lent to it.
    pub(crate) lent_budget: RetryBudget,
    /// Retries that it may still cause, without those that its present send carries.
    pub(crate) budget: RetryBudget,
    /// Part of its budget that the present send carries.
    pub(crate) carried_budget: RetryBudget,
    /// Number of its present send.
    pub(crate) attempt: u32,
    /// Times that the call went elsewhere because a node turned it away.
    pub(crate) reroutes: u8,
    /// Instance of its present send.
    pub(crate) instance: Option<InstanceKey>,
    /// The place that it has in the upstream.
    pub(crate) permit: Permit,
    /// Outbound calls that the upstream makes for it at present.
    pub(crate) children: u32,
    /// When the first of those began.
    pub(crate) children_since: Time,
    /// Time that the upstream has spent waiting for outbound calls.
    pub(crate) children_time: Duration,
}

impl ActiveCall {
    /// Whether a whole request begins with the call.
    pub(crate) fn is_entry(&self) -> bool {
        matches!(self.origin, Origin::Caller { .. } | Origin::Routed { .. })
    }

    /// Whether a route of the site's configuration sent the call.
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

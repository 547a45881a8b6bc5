//! A call to another node.

use std::net::SocketAddr;

use crate::{
    call::{Context, Payload, RetryBudget, Share},
    engine::{Arrival, CallKey, Origin, ReplyHandle},
    names::{ServiceName, VmName},
    upstream::UpstreamTerms,
};

/// One attempt to run a call on another node.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerCall {
    /// Identity of the call on the sending node.
    pub call: CallKey,
    /// Number of the attempt, starting at 1.
    pub attempt: u32,
    /// VM of the other node.
    pub vm: VmName,
    /// Address of the other node.
    pub addr: SocketAddr,
    /// Service that is called.
    pub service: ServiceName,
    /// Properties that the call carries along its path.
    pub context: Context,
    /// Retries that the other node and its callees may spend.
    pub budget: RetryBudget,
    /// Smallest share of the rank that gates on the path have admitted so far.
    pub admitted_share: Share,
    /// What this node has heard of the other node's upstream; `None` if it knows of no limit
    /// and does not know that it leaves.
    pub terms: Option<UpstreamTerms>,
    /// Method, target, header fields and body.
    pub payload: Payload,
}

impl PeerCall {
    /// Converts the call to its arrival at the other node, assuming that both have the same clock.
    pub fn into_arrival(self, reply_to: ReplyHandle) -> Arrival {
        let Self { context, budget, admitted_share, terms, .. } = self;
        Arrival {
            reply_to,
            origin: Origin::Peer {
                budget,
                depth: context.depth,
                admitted_share,
                caller: context.caller,
                terms,
            },
            service: self.service,
            request_id: context.request_id,
            rank: Some(context.rank),
            deadline: Some(context.deadline),
            idempotency: context.idempotency,
            payload: self.payload,
        }
    }
}

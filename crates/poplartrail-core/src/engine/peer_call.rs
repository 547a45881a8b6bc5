//! A call on its way to another node.

use std::net::SocketAddr;

use crate::{
    call::{Context, Payload, RetryBudget, Share},
    engine::{Arrival, CallKey, Origin, ReplyHandle},
    names::{ServiceName, VmName},
};

/// One send of a call, as the node decided it and as an adapter carries it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerCall {
    /// The call.
    pub call: CallKey,
    /// Which of its sends.
    pub attempt: u32,
    /// VM of the other node.
    pub vm: VmName,
    /// Its address.
    pub addr: SocketAddr,
    /// The service.
    pub service: ServiceName,
    /// What travels with it.
    pub context: Context,
    /// Retries that the other node may cause.
    pub budget: RetryBudget,
    /// Smallest share of its rank that the request has passed.
    pub admitted_share: Share,
    /// Its content.
    pub payload: Payload,
}

impl PeerCall {
    /// The call as the other node receives it, if both have the same clock.
    pub fn into_arrival(self, reply_to: ReplyHandle) -> Arrival {
        let Self { context, budget, admitted_share, .. } = self;
        Arrival {
            reply_to,
            origin: Origin::Peer {
                budget,
                depth: context.depth,
                admitted_share,
                caller: context.caller,
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

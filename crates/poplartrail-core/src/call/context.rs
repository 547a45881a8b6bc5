//! What travels with a request through its whole call chain.

use crate::{call::Draw, keys::IdempotencyKey, names::RankName, time::Time};

/// Identity of a whole request, shared by all calls of its chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// The position of the request in the order of shedding that all nodes share.
    pub fn draw(self) -> Draw {
        Draw::of(self)
    }
}

/// Whether running a call twice does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once for its key.
    Once(IdempotencyKey),
}

impl Effect {
    /// The key of a non-idempotent call.
    pub fn key(self) -> Option<IdempotencyKey> {
        match self {
            Effect::Idempotent => None,
            Effect::Once(key) => Some(key),
        }
    }
}

/// Identity, urgency and time of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The whole request that the call belongs to.
    pub request: RequestId,
    /// Rank of the request.
    pub rank: RankName,
    /// The point after which nobody waits for the answer.
    pub deadline: Time,
    /// Number of calls above this one in the chain.
    pub depth: u8,
    /// Whether a second run does harm.
    pub effect: Effect,
}

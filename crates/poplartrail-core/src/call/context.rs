//! What travels with a request through its whole call chain.

use std::fmt;

use twox_hash::XxHash3_128;

use crate::{
    call::ShedPosition,
    keys::IdempotencyKey,
    names::{RankName, ServiceName},
    time::Time,
};

/// Identity of a whole request, shared by all calls of its chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// The identity that a caller states as `text`: a hexadecimal number as it is, any other text
    /// by its hash.
    pub fn from_text(text: &str) -> Self {
        let is_hex = !text.is_empty() && text.len() <= 32;
        match u128::from_str_radix(text, 16) {
            Ok(number) if is_hex => Self(number),
            _ => Self(XxHash3_128::oneshot(text.as_bytes())),
        }
    }

    /// The position of the request in the order of shedding that all nodes share.
    pub fn shed_position(self) -> ShedPosition {
        ShedPosition::of(self)
    }
}

impl fmt::Display for RequestId {
    /// Writes a short identity as 16 hexadecimal digits, and any other as a UUID.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match u64::try_from(self.0) {
            Ok(short) => write!(f, "{short:016x}"),
            Err(_) => uuid::Uuid::from_u128(self.0).fmt(f),
        }
    }
}

/// Whether running a call twice does harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once, and has no key by which a repeat could be recognised.
    AtMostOnce,
    /// The call may run at most once for its key.
    Keyed(IdempotencyKey),
}

impl Idempotency {
    /// The key of a non-idempotent call.
    pub fn key(self) -> Option<IdempotencyKey> {
        match self {
            Idempotency::Idempotent | Idempotency::AtMostOnce => None,
            Idempotency::Keyed(key) => Some(key),
        }
    }
}

/// Identity, urgency and time of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// The whole request that the call belongs to.
    pub request_id: RequestId,
    /// Rank of the request.
    pub rank: RankName,
    /// The point after which nobody waits for the answer.
    pub deadline: Time,
    /// Number of calls above this one in the chain.
    pub depth: u8,
    /// Whether a second run does harm.
    pub idempotency: Idempotency,
    /// Service on the VM where the call began, if the upstream expects to be told.
    pub caller: Option<ServiceName>,
}

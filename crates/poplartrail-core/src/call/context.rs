//! Metadata that travels with a request through its whole call chain.

use std::fmt;

use twox_hash::XxHash3_128;

use crate::{
    call::ShedPosition,
    keys::IdempotencyKey,
    names::{RankName, ServiceName},
    time::Time,
};

/// Identity of a request, shared by all calls of its call chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

impl RequestId {
    /// Converts the identity that a caller states as `text`: a hexadecimal number of up to 32
    /// digits is taken as it is, any other text is hashed.
    pub fn from_text(text: &str) -> Self {
        let is_hex = !text.is_empty() && text.len() <= 32;
        match u128::from_str_radix(text, 16) {
            Ok(number) if is_hex => Self(number),
            _ => Self(XxHash3_128::oneshot(text.as_bytes())),
        }
    }

    /// Returns the position of the request in the order of shedding, the same on every node.
    pub fn shed_position(self) -> ShedPosition {
        ShedPosition::of_request(self)
    }
}

impl fmt::Display for RequestId {
    /// Writes an identity of up to 64 bits as 16 hexadecimal digits, and any other as a UUID.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match u64::try_from(self.0) {
            Ok(short) => write!(f, "{short:016x}"),
            Err(_) => uuid::Uuid::from_u128(self.0).fmt(f),
        }
    }
}

/// Whether a call may safely run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Idempotency {
    /// The call may run any number of times.
    Idempotent,
    /// The call may run at most once, and has no key by which a repeat could be detected.
    AtMostOnce,
    /// The call may run at most once for its idempotency key.
    Keyed(IdempotencyKey),
}

impl Idempotency {
    /// Returns the idempotency key, if the call has one.
    pub fn key(self) -> Option<IdempotencyKey> {
        match self {
            Idempotency::Idempotent | Idempotency::AtMostOnce => None,
            Idempotency::Keyed(key) => Some(key),
        }
    }
}

/// Request, rank, deadline and depth of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Context {
    /// Identity of the client request that this call belongs to.
    pub request_id: RequestId,
    /// Rank that orders the request against others.
    pub rank: RankName,
    /// Time after which nobody waits for the answer.
    pub deadline: Time,
    /// Number of calls above this one in the call chain, 0 at the entry.
    pub depth: u8,
    /// Whether the call may run more than once.
    pub idempotency: Idempotency,
    /// Service on the VM where the call began; `None` if the upstream does not expect it.
    pub caller: Option<ServiceName>,
}

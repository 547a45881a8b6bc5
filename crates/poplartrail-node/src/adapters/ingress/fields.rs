//! Header fields that the node reads and sets.

use poplartrail_core::engine::CallKey;
use slotmap::{Key, KeyData};

/// States the rank of the request.
pub(crate) const RANK_FIELD: &str = "poplartrail-rank";
/// States the identity of the request, a UUID.
pub(crate) const REQUEST_ID_FIELD: &str = "poplartrail-request";
/// States the time left until the deadline, in milliseconds.
pub(crate) const DEADLINE_FIELD: &str = "poplartrail-deadline-ms";
/// Names the service that an outbound call of the upstream is for.
pub(crate) const SERVICE_FIELD: &str = "poplartrail-service";
/// Identifies the call that the upstream is working on. The node sets it on each call to the
/// upstream, and the upstream repeats it on the outbound calls that it makes for that call.
pub(crate) const CONTEXT_FIELD: &str = "poplartrail-context";
/// Holds the idempotency key of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";

/// Encodes the key of a call for [`CONTEXT_FIELD`].
pub(crate) fn encode_context(call: CallKey) -> String {
    format!("{:016x}", call.data().as_ffi())
}

/// Decodes the value of [`CONTEXT_FIELD`]. Returns `None` if it is malformed.
pub(crate) fn decode_context(text: &str) -> Option<CallKey> {
    u64::from_str_radix(text, 16).ok().map(|ffi| CallKey::from(KeyData::from_ffi(ffi)))
}

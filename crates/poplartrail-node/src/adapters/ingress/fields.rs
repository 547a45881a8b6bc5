//! Names of the header fields that the system reads and sets.

use poplartrail_core::engine::CallKey;
use slotmap::{Key, KeyData};

/// Field that states the rank.
pub(crate) const RANK_FIELD: &str = "poplartrail-rank";
/// Field that states the request's identity.
pub(crate) const REQUEST_ID_FIELD: &str = "poplartrail-request";
/// Field that states the time left, in milliseconds.
pub(crate) const DEADLINE_FIELD: &str = "poplartrail-deadline-ms";
/// Field in which an upstream names the service that it calls.
pub(crate) const SERVICE_FIELD: &str = "poplartrail-service";
/// Field in which an upstream repeats what came with the call that it works on.
pub(crate) const CONTEXT_FIELD: &str = "poplartrail-context";
/// Field that holds the key of a non-idempotent request.
pub(crate) const IDEMPOTENCY_KEY_FIELD: &str = "idempotency-key";
/// Text of a call's key for the field [`CONTEXT`].
pub(crate) fn encode_context(call: CallKey) -> String {
    format!("{:016x}", call.data().as_ffi())
}

/// The call's key from its text.
pub(crate) fn decode_context(text: &str) -> Option<CallKey> {
    u64::from_str_radix(text, 16).ok().map(|ffi| CallKey::from(KeyData::from_ffi(ffi)))
}

//! Conversions between the generated message types and the types of the core.

pub mod call;
pub mod config;
pub mod log;
pub mod member;
mod message;
pub mod reply;
mod terms;

use bytes::Buf;

use crate::WireError;
pub use message::{MAX_START_BYTES, PeerMessage, stated_len};

/// Decodes a 128-bit number from 16 big-endian bytes; `field` names it in the error.
fn decode_u128(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| WireError::InvalidValue(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn decode_message<M: prost::Message + Default>(bytes: impl Buf) -> Result<M, WireError> {
    M::decode(bytes).map_err(|err| WireError::Undecodable(err.to_string()))
}

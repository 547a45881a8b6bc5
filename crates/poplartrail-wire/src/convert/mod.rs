//! Conversions between the generated message types and the types of the core.

pub mod call;
pub mod config;
pub mod log;
pub mod member;
pub mod reply;

use crate::WireError;

/// Decodes a 128-bit number from 16 big-endian bytes; `field` names it in the error.
fn decode_u128(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| WireError::InvalidValue(field))?;
    Ok(u128::from_be_bytes(bytes))
}

fn decode_message<M: prost::Message + Default>(bytes: &[u8]) -> Result<M, WireError> {
    M::decode(bytes).map_err(|err| WireError::Undecodable(err.to_string()))
}

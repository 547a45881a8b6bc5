//! Conversions between message types and the core's types.

pub mod call;
pub mod config;
pub mod log;
pub mod member;
pub mod reply;

use crate::WireError;

/// Reads 16 big-endian bytes.
fn id_from(bytes: &[u8], field: &'static str) -> Result<u128, WireError> {
    let bytes: [u8; 16] = bytes.try_into().map_err(|_| WireError::BadValue(field))?;
    Ok(u128::from_be_bytes(bytes))
}

/// Decodes a message of any type.
fn decode<M: prost::Message + Default>(bytes: &[u8]) -> Result<M, WireError> {
    M::decode(bytes).map_err(|err| WireError::Undecodable(err.to_string()))
}

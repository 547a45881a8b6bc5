//! Idempotency keys.

use std::fmt;

use twox_hash::XxHash3_64;
use uuid::Uuid;

use crate::{keys::KeyError, time::WallTime};

/// Bits of a UUIDv7 below its timestamp.
const BITS_BELOW_TIME: u32 = 80;
/// Version number of the UUIDs that serve as keys.
const KEY_VERSION: usize = 7;

/// A UUIDv7 that identifies one non-idempotent action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct IdempotencyKey(u128);

impl IdempotencyKey {
    /// Parses the text form of a UUIDv7.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let uuid = Uuid::parse_str(text).map_err(|_| KeyError::NotUuid(text.to_owned()))?;
        Self::from_bits(uuid.as_u128())
    }

    /// Converts the 128 bits of a UUIDv7.
    pub fn from_bits(bits: u128) -> Result<Self, KeyError> {
        let version = Uuid::from_u128(bits).get_version_num();
        if version == KEY_VERSION { Ok(Self(bits)) } else { Err(KeyError::WrongVersion(version)) }
    }

    /// Creates a key with the timestamp `minted_at` and 74 bits of `random`.
    pub fn mint(minted_at: WallTime, random: u128) -> Self {
        let millis = minted_at.as_millis() & 0xffff_ffff_ffff;
        let bytes = (random as u64 ^ (random >> 64) as u64).to_be_bytes();
        let extra = ((random >> 32) as u16).to_be_bytes();
        let mut low = [0u8; 10];
        low[..2].copy_from_slice(&extra);
        low[2..].copy_from_slice(&bytes);
        Self(uuid::Builder::from_unix_timestamp_millis(millis, &low).into_uuid().as_u128())
    }

    /// Returns the 128 bits of the key.
    pub fn bits(self) -> u128 {
        self.0
    }

    /// Returns the time at which the key was minted, by the clock of the minting caller.
    pub fn minted_at(self) -> WallTime {
        WallTime::from_millis((self.0 >> BITS_BELOW_TIME) as u64)
    }

    /// Returns a hash of the key, the same on every node.
    pub fn hash(self) -> u64 {
        XxHash3_64::oneshot(&self.0.to_le_bytes())
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}

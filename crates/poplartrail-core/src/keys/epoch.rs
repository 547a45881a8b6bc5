//! The range of mint times that one holder of a slot accepts.

use crate::{keys::IdempotencyKey, time::WallTime};

/// Mint times after `floor` and up to `ceiling`, both stated by the platform log.
///
/// No local clock takes part. The floor of a holder is the ceiling of the one before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Epoch {
    /// Keys minted at or before this time are refused.
    pub floor: WallTime,
    /// Keys minted after this time are refused.
    pub ceiling: WallTime,
}

/// Whether a holder accepts a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Only this holder may ever run the key.
    Own,
    /// An earlier holder may have run the key.
    Forgotten,
    /// No holder up to now has accepted the key, and this one does not yet.
    TooNew,
}

impl Epoch {
    /// Judges `key` by its mint time.
    pub fn judge(&self, key: IdempotencyKey) -> KeyVerdict {
        let minted = key.minted();
        if minted <= self.floor {
            KeyVerdict::Forgotten
        } else if minted > self.ceiling {
            KeyVerdict::TooNew
        } else {
            KeyVerdict::Own
        }
    }
}

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
pub enum KeyCheck {
    /// Only this holder may ever run the key.
    Accepted,
    /// An earlier holder may have run the key.
    TooOld,
    /// No holder up to now has accepted the key, and this one does not yet.
    TooNew,
}

impl Epoch {
    /// Judges `key` by its mint time.
    pub fn check(&self, key: IdempotencyKey) -> KeyCheck {
        let minted = key.minted_at();
        if minted <= self.floor {
            KeyCheck::TooOld
        } else if minted > self.ceiling {
            KeyCheck::TooNew
        } else {
            KeyCheck::Accepted
        }
    }
}

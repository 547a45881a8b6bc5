//! Range of key mint times that one holder of a key slot accepts.

use crate::{keys::IdempotencyKey, time::WallTime};

/// Mint times after `floor` and up to `ceiling`.
///
/// Both bounds follow from timestamps of the platform log, never from a local clock. The floor of
/// a holder is the ceiling of the previous holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Epoch {
    /// Keys minted at or before this time are too old.
    pub floor: WallTime,
    /// Keys minted after this time are too new.
    pub ceiling: WallTime,
}

/// Result of checking the mint time of a key against an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyCheck {
    /// The key lies in the epoch: no other holder ever runs it.
    Accepted,
    /// An earlier holder may have run the key.
    TooOld,
    /// No holder has accepted the key so far, and this one does not accept it yet.
    TooNew,
}

impl Epoch {
    /// Checks the mint time of `key` against the epoch.
    pub fn check(&self, key: IdempotencyKey) -> KeyCheck {
        let minted_at = key.minted_at();
        if minted_at <= self.floor {
            KeyCheck::TooOld
        } else if minted_at > self.ceiling {
            KeyCheck::TooNew
        } else {
            KeyCheck::Accepted
        }
    }
}

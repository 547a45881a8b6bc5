//! At most one run for each idempotency key.
//!
//! A key is a UUIDv7, so it contains the time at which it was minted. Its hash selects one
//! [`Home`]: an availability zone and a key slot there. The platform log grants each slot to one
//! holder at a time, and each holder accepts only keys with a mint time in its own [`Epoch`].
//! Epochs of one slot never overlap, so no two holders can accept the same key, whatever their
//! clocks say and however long one of them was paused.

mod epoch;
mod error;
mod home;
mod key;
mod leases;
mod ledger;

pub use epoch::{Epoch, KeyCheck};
pub use error::KeyError;
pub use home::{Home, KeySlot};
pub use key::IdempotencyKey;
pub use leases::{Lease, LeaseChange, LeaseTable, LeaseTerms};
pub use ledger::{KeyState, Ledger};

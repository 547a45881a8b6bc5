//! A limit on the bytes that several messages hold together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;
use tokio::sync::Notify;

/// Largest message that may use the reserve of a budget, so that long messages cannot keep out the
/// usual ones.
const SMALL_MESSAGE_BYTES: usize = 64 << 10;
/// Part of a budget by which only small messages may exceed it.
const RESERVE_FRACTION: usize = 16;

/// Number of bytes that may be held at the same time, shared by its clones.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    bytes: usize,
    /// Bytes beyond the budget, for small messages.
    reserve: usize,
    left: AtomicUsize,
    returned: Notify,
}

impl ByteBudget {
    /// Creates a budget of `bytes`. Small messages may exceed it by a sixteenth.
    pub fn new(bytes: usize) -> Self {
        let reserve = bytes / RESERVE_FRACTION;
        let left = AtomicUsize::new(bytes.saturating_add(reserve));
        Self(Arc::new(Shared { bytes, reserve, left, returned: Notify::new() }))
    }

    /// Creates a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> usize {
        self.0.bytes.saturating_add(self.0.reserve) - self.0.left.load(Ordering::Relaxed)
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
    }

    /// Waits until the budget has `bytes` left, and reserves them. A message that exceeds the
    /// budget waits until nothing else but small messages is held.
    pub async fn reserve(&self, bytes: usize) -> ByteReservation {
        let bytes = bytes.min(self.0.bytes - self.0.reserve);
        let mut reservation = self.reservation();
        loop {
            let returned = self.0.returned.notified();
            if reservation.grow_to(bytes) {
                return reservation;
            }
            returned.await;
        }
    }
}

/// Bytes of a [`ByteBudget`] that are returned to it on drop.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    bytes: usize,
}

impl ByteReservation {
    /// Grows to `bytes`, if the budget has that many left. A smaller number changes nothing.
    #[must_use]
    pub fn grow_to(&mut self, bytes: usize) -> bool {
        let Some(more) = bytes.checked_sub(self.bytes) else { return true };
        let is_small = bytes <= SMALL_MESSAGE_BYTES;
        let floor = if is_small { 0 } else { self.budget.0.reserve };
        let take = |left: usize| left.checked_sub(more).filter(|left| *left >= floor);
        let is_taken = self.budget.0.left.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if is_taken.is_ok() {
            self.bytes = bytes;
        }
        is_taken.is_ok()
    }

    /// Returns `bytes`, for which the reservation lasts until their last clone is dropped.
    pub fn hold(self, bytes: Bytes) -> Bytes {
        if self.bytes == 0 {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _reservation: self })
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.budget.0.left.fetch_add(self.bytes, Ordering::Relaxed);
            self.budget.0.returned.notify_waiters();
        }
    }
}

/// Bytes together with their reservation.
struct HeldBytes {
    bytes: Bytes,
    _reservation: ByteReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

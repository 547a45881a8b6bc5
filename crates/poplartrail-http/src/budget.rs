//! A limit on the bytes that several messages hold together.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Number of bytes that may be held at the same time, shared by its clones.
#[derive(Debug, Clone)]
pub struct ByteBudget(Arc<AtomicUsize>);

impl ByteBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Returns an empty reservation.
    pub fn reservation(&self) -> ByteReservation {
        ByteReservation { budget: self.clone(), bytes: 0 }
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
        let take = |left: usize| left.checked_sub(more);
        let is_taken = self.budget.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if is_taken.is_ok() {
            self.bytes = bytes;
        }
        is_taken.is_ok()
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        self.budget.0.fetch_add(self.bytes, Ordering::Relaxed);
    }
}

//! Bounded rings between threads.

use std::time::Duration;

/// The writing end of a ring.
#[derive(Debug)]
pub struct RingSender<T>(flume::Sender<T>);

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// The reading end of a ring. It ends when every writing end is gone.
#[derive(Debug)]
pub struct RingReceiver<T>(flume::Receiver<T>);

/// Makes a ring for `len` messages.
pub fn ring<T>(len: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (tx, rx) = flume::bounded(len);
    (RingSender(tx), RingReceiver(rx))
}

impl<T> RingSender<T> {
    /// Adds a message without waiting, or gives it back if the ring is full or closed.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        self.0.try_send(message).map_err(flume::TrySendError::into_inner)
    }

    /// Adds a message and waits for room; `false` if the ring is closed.
    pub async fn send(&self, message: T) -> bool {
        self.0.send_async(message).await.is_ok()
    }

    /// Messages in the ring.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Why a wait ended without a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wait {
    /// The time is over.
    TimedOut,
    /// Every writing end is gone.
    Closed,
}

impl<T> RingReceiver<T> {
    /// Waits, parked, for a message for at most `timeout`.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<T, Wait> {
        self.0.recv_timeout(timeout).map_err(|err| match err {
            flume::RecvTimeoutError::Timeout => Wait::TimedOut,
            flume::RecvTimeoutError::Disconnected => Wait::Closed,
        })
    }

    /// Takes a message if there is one.
    pub fn try_recv(&self) -> Option<T> {
        self.0.try_recv().ok()
    }

    /// Waits for a message; `None` when the ring is closed.
    pub async fn recv(&self) -> Option<T> {
        self.0.recv_async().await.ok()
    }
}

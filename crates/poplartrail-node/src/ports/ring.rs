//! Bounded rings, which carry messages between threads.

use std::time::Duration;

/// Sending end of a ring.
#[derive(Debug)]
pub struct RingSender<T>(flume::Sender<T>);

impl<T> Clone for RingSender<T> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Receiving end of a ring. The ring is closed once every sender is gone.
#[derive(Debug)]
pub struct RingReceiver<T>(flume::Receiver<T>);

/// Creates a ring that holds up to `len` messages.
pub fn ring<T>(len: usize) -> (RingSender<T>, RingReceiver<T>) {
    let (tx, rx) = flume::bounded(len);
    (RingSender(tx), RingReceiver(rx))
}

impl<T> RingSender<T> {
    /// Sends a message without waiting; returns the message if the ring is full or closed.
    pub fn try_send(&self, message: T) -> Result<(), T> {
        self.0.try_send(message).map_err(flume::TrySendError::into_inner)
    }

    /// Sends a message as soon as the ring has room; returns `false` if the receiver is gone.
    pub async fn send(&self, message: T) -> bool {
        self.0.send_async(message).await.is_ok()
    }

    /// Returns the number of messages in the ring.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether the ring is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Reason why [`RingReceiver::recv_timeout`] returned no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecvTimeoutError {
    /// No message arrived within the timeout.
    TimedOut,
    /// Every sender is gone.
    Closed,
}

impl<T> RingReceiver<T> {
    /// Parks the thread until a message arrives, for at most `timeout`.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<T, RecvTimeoutError> {
        self.0.recv_timeout(timeout).map_err(|err| match err {
            flume::RecvTimeoutError::Timeout => RecvTimeoutError::TimedOut,
            flume::RecvTimeoutError::Disconnected => RecvTimeoutError::Closed,
        })
    }

    /// Returns the next message, if there is one.
    pub fn try_recv(&self) -> Option<T> {
        self.0.try_recv().ok()
    }

    /// Waits for the next message; returns `None` once the ring is closed.
    pub async fn recv(&self) -> Option<T> {
        self.0.recv_async().await.ok()
    }
}

//! Replies that have not left the process.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Counts the replies that callers and other nodes have yet to take, from the arrival of the request
/// until the last byte is written; on a connection that the node closes, until the caller closes it
/// too. Clones share the counts.
#[derive(Debug, Clone, Default)]
pub struct UnsentReplies(Arc<Totals>);

#[derive(Debug, Default)]
struct Totals {
    connections: AtomicUsize,
    replies: AtomicUsize,
    bytes: AtomicUsize,
}

impl UnsentReplies {
    /// Returns whether every reply has been taken.
    pub fn is_empty(&self) -> bool {
        self.replies() == 0
    }

    /// Returns the number of connections with unsent replies.
    pub fn connections(&self) -> usize {
        self.0.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of unsent replies, those of requests in progress included.
    pub fn replies(&self) -> usize {
        self.0.replies.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes of the replies that wait to be written.
    pub fn bytes(&self) -> usize {
        self.0.bytes.load(Ordering::Relaxed)
    }

    /// Starts to count the replies of one connection.
    pub(crate) fn connection(&self) -> UnsentOnConnection {
        UnsentOnConnection { totals: self.0.clone(), replies: Arc::default() }
    }
}

/// Counts the unsent replies of one connection.
#[derive(Debug, Clone)]
pub(crate) struct UnsentOnConnection {
    totals: Arc<Totals>,
    replies: Arc<AtomicUsize>,
}

impl UnsentOnConnection {
    /// Counts the reply to a request that has arrived, until the guard is dropped.
    pub(crate) fn begin(&self) -> UnsentReply {
        self.totals.replies.fetch_add(1, Ordering::Relaxed);
        if self.replies.fetch_add(1, Ordering::Relaxed) == 0 {
            self.totals.connections.fetch_add(1, Ordering::Relaxed);
        }
        UnsentReply { connection: self.clone(), len: 0 }
    }
}

/// Guard of one unsent reply.
#[derive(Debug)]
pub(crate) struct UnsentReply {
    connection: UnsentOnConnection,
    len: usize,
}

impl UnsentReply {
    /// Sets the number of bytes that wait to be written.
    pub(crate) fn set_len(&mut self, len: usize) {
        let bytes = &self.connection.totals.bytes;
        bytes.fetch_add(len, Ordering::Relaxed);
        bytes.fetch_sub(self.len, Ordering::Relaxed);
        self.len = len;
    }
}

impl Drop for UnsentReply {
    fn drop(&mut self) {
        self.set_len(0);
        let UnsentOnConnection { totals, replies } = &self.connection;
        if replies.fetch_sub(1, Ordering::Relaxed) == 1 {
            totals.connections.fetch_sub(1, Ordering::Relaxed);
        }
        totals.replies.fetch_sub(1, Ordering::Relaxed);
    }
}

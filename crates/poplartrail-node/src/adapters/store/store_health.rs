//! What the clients of the store share about it.

use tokio::sync::watch;

/// Number of nodes that share the store, and calls that it has left unanswered.
///
/// A fault often takes the responses to all calls of a node. A long poll does not show that, so its
/// reader learns of it from the other clients.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    nodes: watch::Sender<usize>,
    unanswered: watch::Sender<u64>,
    seen: watch::Receiver<u64>,
}

impl StoreHealth {
    pub(crate) fn new() -> Self {
        let (unanswered, seen) = watch::channel(0);
        Self { nodes: watch::Sender::new(0), unanswered, seen }
    }

    /// Returns the number of nodes that have announced themselves.
    pub(crate) fn nodes(&self) -> usize {
        *self.nodes.borrow()
    }

    pub(crate) fn set_nodes(&self, nodes: usize) {
        self.nodes.send_replace(nodes);
    }

    /// Records a call without a response, which the other clients learn of.
    pub(crate) fn record_unanswered(&mut self) {
        self.unanswered.send_modify(|count| *count += 1);
        self.seen.mark_unchanged();
    }

    /// Waits until another client has recorded a call without a response since the last wait.
    pub(crate) async fn await_suspicion(&mut self) {
        // Never fails, because `self` holds a sender.
        let _is_closed = self.seen.changed().await.is_err();
    }
}

impl Clone for StoreHealth {
    fn clone(&self) -> Self {
        Self {
            nodes: self.nodes.clone(),
            unanswered: self.unanswered.clone(),
            seen: self.unanswered.subscribe(),
        }
    }
}

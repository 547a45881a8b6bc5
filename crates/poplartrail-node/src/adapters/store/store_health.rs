//! What the clients of the store share about it.

use tokio::sync::watch;

/// Number of nodes that share the store, and disruptions that its clients have noticed: a call without a
/// response, or a new era.
///
/// A fault often takes the responses to all calls of a node. A long poll does not show that, so its
/// reader learns of it from the other clients.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    nodes: watch::Sender<usize>,
    disruptions: watch::Sender<u64>,
    seen: watch::Receiver<u64>,
}

impl StoreHealth {
    pub(crate) fn new() -> Self {
        let (disruptions, seen) = watch::channel(0);
        Self { nodes: watch::Sender::new(0), disruptions, seen }
    }

    /// Returns the number of nodes that have announced themselves.
    pub(crate) fn nodes(&self) -> usize {
        *self.nodes.borrow()
    }

    pub(crate) fn set_nodes(&self, nodes: usize) {
        self.nodes.send_replace(nodes);
    }

    /// Records a disruption, which the other clients learn of.
    pub(crate) fn record_disruption(&mut self) {
        self.disruptions.send_modify(|count| *count += 1);
        self.seen.mark_unchanged();
    }

    /// Waits until another client has recorded a disruption since the last wait.
    pub(crate) async fn await_disruption(&mut self) {
        // Never fails, because `self` holds a sender.
        let _is_closed = self.seen.changed().await.is_err();
    }
}

impl Clone for StoreHealth {
    fn clone(&self) -> Self {
        Self {
            nodes: self.nodes.clone(),
            disruptions: self.disruptions.clone(),
            seen: self.disruptions.subscribe(),
        }
    }
}

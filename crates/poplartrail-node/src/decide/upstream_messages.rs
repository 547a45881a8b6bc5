//! Messages of the local upstream that wait for the store.

use std::collections::VecDeque;

use poplartrail_core::engine::Node;

use crate::ports::{DecideMessage, RingSender};

/// Maximum number of messages that are held. An upstream sends one in a second or two, and gives up
/// waiting for the response to the earlier ones.
const MAX_HELD: usize = 4;
/// Maximum number of requests that wait for the store.
const MAX_WAITING: usize = 64;

/// Messages of the local upstream that the node cannot handle or confirm yet.
#[derive(Debug, Default)]
pub(crate) struct UpstreamMessages {
    held: VecDeque<DecideMessage>,
    awaiting_store: VecDeque<RingSender<()>>,
}

impl UpstreamMessages {
    /// Holds a message until the node knows what its earlier processes have announced. The oldest
    /// one beyond [`MAX_HELD`] is dropped, so that its sender is told to come again.
    pub(crate) fn hold(&mut self, message: DecideMessage) {
        self.held.push_back(message);
        if self.held.len() > MAX_HELD {
            self.held.pop_front();
        }
    }

    /// Removes and returns the held messages if the node can handle them.
    pub(crate) fn take_held(&mut self, node: &Node) -> VecDeque<DecideMessage> {
        if node.is_restored() { std::mem::take(&mut self.held) } else { VecDeque::new() }
    }

    /// Replies once the store holds the node's announcement.
    pub(crate) fn await_stored(&mut self, reply_to: RingSender<()>) {
        self.awaiting_store.push_back(reply_to);
        if self.awaiting_store.len() > MAX_WAITING {
            self.awaiting_store.pop_front();
        }
    }

    /// Replies to those who wait if the store holds the node's announcement.
    pub(crate) fn confirm_stored(&mut self, node: &Node) {
        if !self.awaiting_store.is_empty() && node.is_announcement_stored() {
            for reply_to in self.awaiting_store.drain(..) {
                // The one who waits may have given up.
                let _is_abandoned = reply_to.try_send(()).is_err();
            }
        }
    }
}

//! Limits on the bytes of others that a process holds.

use poplartrail_http::ByteBudget;

/// Limit on the bytes of requests of callers: the bodies, and the copies on their way to other
/// nodes.
const MAX_CALLER_BYTES: usize = 48 << 20;
/// Limit on the bytes of requests of other nodes. Together with the other limits it leaves 48 MB of
/// the smallest VM, of 160 MB, to everything else.
const MAX_PEER_BYTES: usize = 32 << 20;
/// Limit on the bytes of answers, until their callers or other nodes have taken them.
const MAX_ANSWER_BYTES: usize = 32 << 20;

/// Budgets for the bytes that a process holds for others. Clones share them.
///
/// Each belongs to one direction, because a message waits for room only behind messages that leave
/// without it: the requests of callers leave to the nodes that have room for them, those of other
/// nodes to the local upstream, and answers to those who read them.
#[derive(Debug, Clone)]
pub struct ByteBudgets {
    /// Requests of callers and of the local upstream.
    pub callers: ByteBudget,
    /// Requests of other nodes.
    pub peers: ByteBudget,
    /// Answers of the local upstream and of other nodes.
    pub answers: ByteBudget,
}

impl ByteBudgets {
    /// Creates the budgets of a hosted node.
    pub fn hosted() -> Self {
        Self {
            callers: ByteBudget::new(MAX_CALLER_BYTES),
            peers: ByteBudget::new(MAX_PEER_BYTES),
            answers: ByteBudget::new(MAX_ANSWER_BYTES),
        }
    }

    /// Creates budgets without a limit.
    pub fn unlimited() -> Self {
        let unlimited = ByteBudget::unlimited;
        Self { callers: unlimited(), peers: unlimited(), answers: unlimited() }
    }

    /// Returns the number of bytes that are held, by holder.
    pub(crate) fn held(&self) -> [(&'static str, usize); 3] {
        let Self { callers, peers, answers } = self;
        [("callers", callers.held()), ("peers", peers.held()), ("answers", answers.held())]
    }
}

//! Life cycle of a node as typestate.

use crate::time::Time;

/// Phase of a node that has no configuration yet.
#[derive(Debug, Clone, Copy)]
pub struct Starting(());

/// Phase of a node that admits calls.
#[derive(Debug, Clone, Copy)]
pub struct Serving(());

/// Phase of a node that is to stop: it finishes the calls in progress, and admits no new ones
/// unless it is hosted.
#[derive(Debug, Clone, Copy)]
pub struct Draining {
    since: Time,
}

/// Phase of a node that refuses all new calls, also those of callers on its own VM.
#[derive(Debug, Clone, Copy)]
pub struct Closing(());

/// A node in phase `S`. Transitions only go forward.
#[derive(Debug, Clone, Copy)]
pub struct Phase<S>(S);

impl Phase<Starting> {
    /// Creates the first phase.
    pub fn start() -> Self {
        Phase(Starting(()))
    }

    /// Starts serving, once a configuration is in force.
    pub fn serve(self) -> Phase<Serving> {
        Phase(Serving(()))
    }

    /// Starts draining a node that has not served yet.
    pub fn drain(self, now: Time) -> Phase<Draining> {
        Phase(Draining { since: now })
    }
}

impl Phase<Serving> {
    /// Starts draining.
    pub fn drain(self, now: Time) -> Phase<Draining> {
        Phase(Draining { since: now })
    }
}

impl Phase<Draining> {
    /// Time at which draining began.
    pub fn since(&self) -> Time {
        self.0.since
    }

    /// Starts refusing all new calls, once callers have had time to switch to other nodes.
    pub fn close(self) -> Phase<Closing> {
        Phase(Closing(()))
    }
}

/// Present phase of a node.
#[derive(Debug, Clone, Copy)]
pub enum NodePhase {
    /// No configuration is in force yet.
    Starting(Phase<Starting>),
    /// Calls are admitted.
    Serving(Phase<Serving>),
    /// Calls in progress are finished, and new ones are admitted only if the node is hosted.
    Draining(Phase<Draining>),
    /// Calls in progress are finished, and new ones are refused.
    Closing(Phase<Closing>),
}

impl NodePhase {
    /// Moves a starting node to serving; has no effect in other phases.
    pub fn serve(&mut self) {
        if let NodePhase::Starting(phase) = *self {
            *self = NodePhase::Serving(phase.serve());
        }
    }

    /// Moves a starting or serving node to draining; has no effect in other phases.
    pub fn drain(&mut self, now: Time) {
        match *self {
            NodePhase::Starting(phase) => *self = NodePhase::Draining(phase.drain(now)),
            NodePhase::Serving(phase) => *self = NodePhase::Draining(phase.drain(now)),
            NodePhase::Draining(_) | NodePhase::Closing(_) => {}
        }
    }

    /// Moves a draining node to closing; has no effect in other phases.
    pub fn close(&mut self) {
        if let NodePhase::Draining(phase) = *self {
            *self = NodePhase::Closing(phase.close());
        }
    }

    /// Whether the node refuses all new calls, also those of callers on its own VM.
    pub fn is_closing(&self) -> bool {
        matches!(self, NodePhase::Closing(_))
    }

    /// Whether the node is draining or closing.
    pub fn is_draining(&self) -> bool {
        matches!(self, NodePhase::Draining(_) | NodePhase::Closing(_))
    }

    /// Name of the phase on status pages and in events.
    pub fn label(&self) -> &'static str {
        match self {
            NodePhase::Starting(_) => "starting",
            NodePhase::Serving(_) => "serving",
            NodePhase::Draining(_) => "draining",
            NodePhase::Closing(_) => "closing",
        }
    }
}

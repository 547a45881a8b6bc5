//! The life of a node as types.

use crate::time::Time;

/// The node has no configuration yet.
#[derive(Debug, Clone, Copy)]
pub struct Starting(());

/// The node takes calls.
#[derive(Debug, Clone, Copy)]
pub struct Serving(());

/// The node takes no new work and finishes what it has.
#[derive(Debug, Clone, Copy)]
pub struct Draining {
    since: Time,
}

/// The node takes no request any longer, not even from its own callers.
#[derive(Debug, Clone, Copy)]
pub struct Closing(());

/// A node in the phase `S`. Phases only move forward.
#[derive(Debug, Clone, Copy)]
pub struct Phase<S>(S);

impl Phase<Starting> {
    /// The first phase.
    pub fn start() -> Self {
        Phase(Starting(()))
    }

    /// A configuration is in force.
    pub fn serve(self) -> Phase<Serving> {
        Phase(Serving(()))
    }

    /// A stop was asked for before the node served.
    pub fn drain(self, now: Time) -> Phase<Draining> {
        Phase(Draining { since: now })
    }
}

impl Phase<Serving> {
    /// A stop was asked for.
    pub fn drain(self, now: Time) -> Phase<Draining> {
        Phase(Draining { since: now })
    }
}

impl Phase<Draining> {
    /// When the stop was asked for.
    pub fn since(&self) -> Time {
        self.0.since
    }

    /// Callers have had the time to go elsewhere.
    pub fn close(self) -> Phase<Closing> {
        Phase(Closing(()))
    }
}

/// The present phase of a node.
#[derive(Debug, Clone, Copy)]
pub enum NodePhase {
    /// No configuration yet.
    Starting(Phase<Starting>),
    /// Takes calls.
    Serving(Phase<Serving>),
    /// Finishes what it has.
    Draining(Phase<Draining>),
    /// Finishes what it has and refuses whatever comes.
    Closing(Phase<Closing>),
}

impl NodePhase {
    /// Moves a starting node to serving.
    pub fn serve(&mut self) {
        if let NodePhase::Starting(phase) = *self {
            *self = NodePhase::Serving(phase.serve());
        }
    }

    /// Moves a node to draining.
    pub fn drain(&mut self, now: Time) {
        match *self {
            NodePhase::Starting(phase) => *self = NodePhase::Draining(phase.drain(now)),
            NodePhase::Serving(phase) => *self = NodePhase::Draining(phase.drain(now)),
            NodePhase::Draining(_) | NodePhase::Closing(_) => {}
        }
    }

    /// Moves a draining node to closing.
    pub fn close(&mut self) {
        if let NodePhase::Draining(phase) = *self {
            *self = NodePhase::Closing(phase.close());
        }
    }

    /// Whether the node refuses requests of its own callers too.
    pub fn is_closing(&self) -> bool {
        matches!(self, NodePhase::Closing(_))
    }

    /// Whether the node is draining.
    pub fn is_draining(&self) -> bool {
        matches!(self, NodePhase::Draining(_) | NodePhase::Closing(_))
    }

    /// A word for status pages.
    pub fn label(&self) -> &'static str {
        match self {
            NodePhase::Starting(_) => "starting",
            NodePhase::Serving(_) => "serving",
            NodePhase::Draining(_) => "draining",
            NodePhase::Closing(_) => "closing",
        }
    }
}

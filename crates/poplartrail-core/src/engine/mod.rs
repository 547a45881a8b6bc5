//! Decisions of one node, behind one input type and one output type.
//!
//! [`Node`] handles each [`Input`] at a given time and appends the resulting [`Output`]s. It holds
//! the calls in progress ([`Calls`]) and the state built from the platform log ([`ClusterState`]).
//! Adapters carry out the outputs and feed their results back as inputs.

mod active_call;
mod announcement;
mod appends;
mod arrivals;
mod call_options;
mod calls;
mod cluster_state;
mod config_check;
mod config_exchange;
mod ending;
mod event;
mod fixed_policy;
mod hosted_calls;
mod input;
mod mechanisms;
mod node;
mod node_options;
mod node_status;
mod notices;
mod output;
mod peer_call;
mod phase;
mod refusals;
mod restore;
mod returns;
mod routing;
mod sending;
mod timers;

pub use active_call::CallKey;
pub use call_options::CallOptions;
pub use calls::Calls;
pub use cluster_state::ClusterState;
pub use event::{ConfigSource, Event, EventKind};
pub use fixed_policy::FixedPolicy;
pub use input::{
    Arrival, Input, LogBatch, LogRecord, Origin, PeerFault, PeerOutcome, ReplyHandle, ReplyPort,
    StreamId, UnroutedRequest, UpstreamFault,
};
pub use mechanisms::Mechanisms;
pub use node::Node;
pub use node_options::{NodeOptions, PolicySource};
pub use node_status::{InstanceStatus, NodeStatus, RankStatus};
pub use output::Output;
pub use peer_call::PeerCall;
pub use phase::{Closing, Draining, NodePhase, Phase, Serving, Starting};

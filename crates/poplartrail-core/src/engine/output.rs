//! Outputs of a node, which the adapters carry out.

use std::net::SocketAddr;

use crate::{
    call::{Context, Outcome, Payload},
    config::Snapshot,
    engine::{CallKey, Event, PeerCall, ReplyHandle},
    member::MemberRecord,
    names::{InstanceName, ServiceName, VmName},
    route::GateReport,
    site::CallerLimits,
};

/// An action that a node requests from its adapters.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send the outcome of a call to its caller.
    Reply {
        /// Handle from the call's arrival.
        reply_to: ReplyHandle,
        /// Answer, refusal, or the reason why the outcome is unknown.
        outcome: Outcome,
        /// State of the gate; sent to other nodes only.
        report: GateReport,
    },
    /// Send a call to the local upstream.
    Dispatch {
        /// Identity of the call, which the upstream states in its outbound calls.
        call: CallKey,
        /// Properties that the call carries along its path.
        context: Context,
        /// Instance that must run the call; `None` if the upstream has not stated its name.
        instance: Option<InstanceName>,
        /// Method, target, header fields and body.
        payload: Payload,
    },
    /// Cancel a dispatched call, because nobody waits for it.
    CancelDispatch {
        /// Identity given in [`Output::Dispatch`].
        call: CallKey,
    },
    /// Send a call to another node.
    Send(PeerCall),
    /// Cancel a call sent to another node, because nobody waits for it.
    CancelSend {
        /// Identity given in [`Output::Send`].
        call: CallKey,
        /// Number of the attempt to cancel.
        attempt: u32,
    },
    /// Close the connection to another node, so that the next call to it opens a new one.
    Disconnect {
        /// VM of the other node.
        vm: VmName,
        /// Address of the other node.
        addr: SocketAddr,
    },
    /// Append a record to the member stream of the node's service, which is in the platform log, or
    /// in the store if the node is hosted.
    AppendMember(MemberRecord),
    /// Append a snapshot to the configuration stream.
    AppendSnapshot(Snapshot),
    /// Read the member streams of these services too.
    Subscribe(Vec<ServiceName>),
    /// Open a connection to a node that could not be reached before.
    Connect {
        /// Address of the other node.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
    },
    /// Apply these limits to the connections of callers.
    CallerLimits(CallerLimits),
    /// Ask another node for its configuration, if it is newer than this node's.
    AskConfig {
        /// Address of the other node.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
        /// Version that this node has in force; 0 if it has none.
        known_version: u64,
    },
    /// Ask another node for the members that it knows.
    AskMembers {
        /// Address of the other node.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
        /// Record of this node, for the other node to store.
        local_record: MemberRecord,
    },
    /// Announce to these nodes that this one is draining.
    AnnounceDraining(Vec<(VmName, SocketAddr)>),
    /// Record an event for the log, the timeline and the metrics.
    RecordEvent(Event),
    /// No call is in progress and the node may stop.
    Drained,
}

//! Everything that a node asks its adapters to do.

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

/// One thing that a node asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send a reply to `reply_to`.
    Reply {
        /// Who waits.
        reply_to: ReplyHandle,
        /// What to tell.
        outcome: Outcome,
        /// State of the gate, for other nodes.
        report: GateReport,
    },
    /// Hand a call to the upstream.
    Dispatch {
        /// The call; the upstream names it in its own outbound calls.
        call: CallKey,
        /// What travels with it.
        context: Context,
        /// The instance that is to run it, if it is known.
        instance: Option<InstanceName>,
        /// Its content.
        payload: Payload,
    },
    /// Tell the upstream that nobody waits for a call.
    CancelDispatch {
        /// The call.
        call: CallKey,
    },
    /// Hand a call to another node.
    Send(PeerCall),
    /// Tell another node that nobody waits for a call.
    CancelSend {
        /// The call.
        call: CallKey,
        /// Which of its sends.
        attempt: u32,
    },
    /// Replace the connection to another node.
    Reconnect {
        /// VM of the other node.
        vm: VmName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Append to the stream of the node's own service.
    AppendMember(MemberRecord),
    /// Append a snapshot to the configuration stream.
    AppendSnapshot(Snapshot),
    /// Read the streams of these services besides the node's own.
    Subscribe(Vec<ServiceName>),
    /// Try to open a connection to another node that could not be reached.
    Probe {
        /// Its address.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
    },
    /// Apply these bounds to the connections of callers.
    CallerLimits(CallerLimits),
    /// Ask another node for its configuration, because it has a newer one.
    AskConfig {
        /// Its address.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
    },
    /// Ask another node for the members that it knows.
    AskMembers {
        /// Its address.
        addr: SocketAddr,
        /// VM of the other node.
        vm: VmName,
        /// What this node says of itself.
        local_record: MemberRecord,
    },
    /// Tell these nodes that this one is leaving.
    AnnounceDraining(Vec<(VmName, SocketAddr)>),
    /// Record an event on the time line.
    RecordEvent(Event),
    /// Nothing is in progress and the node may stop.
    Drained,
}

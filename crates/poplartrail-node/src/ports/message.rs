//! Messages on the rings, by receiving thread.
//!
//! In hosted mode a platform starts and stops the process, and its store holds the configuration
//! and the member records. Otherwise nodes keep both in the platform log.

use std::net::SocketAddr;

use poplartrail_core::{
    call::{Context, Outcome, Payload},
    config::Snapshot,
    engine::{CallKey, Event, Input, NodeStatus, PeerCall, ReplyHandle},
    keys::IdempotencyKey,
    member::MemberRecord,
    names::{InstanceName, ServiceName, VmName},
    route::GateReport,
    site::CallerLimits,
    time::WallTime,
    upstream::{Deregistration, Heartbeat, HeartbeatError},
};

use crate::ports::RingSender;

/// Message to the decide thread, which runs the decision engine and owns the state of the node.
#[derive(Debug)]
pub enum DecideMessage {
    /// Event for the decision engine.
    Input(Input),
    /// Asks for the state of the node, as the status page shows it.
    GetStatus(RingSender<NodeStatus>),
    /// Asks for a new idempotency key whose home is this node; `None` if it cannot accept keys now.
    MintKey(RingSender<Option<IdempotencyKey>>),
    /// Asks whether the node is in the serving phase.
    IsReady(RingSender<bool>),
    /// Reports a heartbeat of the local upstream.
    Heartbeat {
        /// Content of the heartbeat.
        heartbeat: Heartbeat,
        /// Receives the result once the gate has applied the heartbeat.
        reply_to: RingSender<Result<(), HeartbeatError>>,
    },
    /// Reports that the local upstream is about to exit.
    Deregister {
        /// Instance that is about to exit.
        deregistration: Deregistration,
        /// Receives the acknowledgement once the gate has applied the deregistration.
        reply_to: RingSender<()>,
    },
    /// Asks to be told once the store holds the state of the local upstream that was announced last.
    AwaitStored(RingSender<()>),
    /// Asks for the configuration on behalf of another node.
    GetConfig {
        /// VM of the other node.
        vm: VmName,
        /// Version that the other node has in force; 0 if it has none.
        known_version: u64,
        /// Receives the configuration; `None` if it is not newer.
        reply_to: RingSender<Option<Snapshot>>,
    },
    /// Asks for the known members on behalf of another node, and reports its own record.
    ExchangeMembers {
        /// Member record of the other node.
        peer_record: MemberRecord,
        /// Receives the records of all known members.
        reply_to: RingSender<Vec<MemberRecord>>,
    },
}

/// Message to the thread that serves callers: ingress, or front in hosted mode.
#[derive(Debug)]
pub enum IngressMessage {
    /// Reply to a caller.
    Reply {
        /// Identifies the call that the reply belongs to.
        reply_to: ReplyHandle,
        /// Outcome of the call.
        outcome: Outcome,
    },
    /// New bounds on the connections of callers; ignored unless the node runs in hosted mode.
    Limits(CallerLimits),
}

/// Message to the peers thread, which exchanges calls and notifications with other nodes.
#[derive(Debug)]
pub enum PeersMessage {
    /// Reply to a call of another node.
    Reply {
        /// Identifies the call that the reply belongs to.
        reply_to: ReplyHandle,
        /// Outcome of the call.
        outcome: Outcome,
        /// Load report of the local gate, sent with the reply.
        report: GateReport,
    },
    /// Call to send to another node.
    Send(PeerCall),
    /// Cancels a call for which nobody waits any longer.
    Cancel {
        /// Key of the call on this node.
        call: CallKey,
        /// Number of the attempt to cancel.
        attempt: u32,
    },
    /// Closes the connection to a node, so that the next call opens a new one.
    Disconnect {
        /// Address at which the node serves peers.
        addr: SocketAddr,
    },
    /// Tries to connect to a node that could not be reached.
    Connect {
        /// VM of the node.
        vm: VmName,
        /// Address at which the node serves peers.
        addr: SocketAddr,
    },
    /// Asks a node for its configuration, if it is newer.
    AskConfig {
        /// VM of the node.
        vm: VmName,
        /// Address at which the node serves peers.
        addr: SocketAddr,
        /// Version that this node has in force; 0 if it has none.
        known_version: u64,
    },
    /// Asks a node for the members that it knows.
    AskMembers {
        /// VM of the node.
        vm: VmName,
        /// Address at which the node serves peers.
        addr: SocketAddr,
        /// Member record of this node, which the other node learns from the request.
        local_record: MemberRecord,
    },
    /// Announces to these nodes that this one is draining.
    AnnounceDraining(Vec<(VmName, SocketAddr)>),
}

/// Message to the upstream thread, which sends calls to the upstream on the same VM.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// Call to dispatch to the upstream.
    Dispatch {
        /// Key of the call on this node.
        call: CallKey,
        /// Context that the call carries through the chain.
        context: Context,
        /// Instance that is to run the call, if one is known.
        instance: Option<InstanceName>,
        /// Content of the request.
        payload: Payload,
    },
    /// Cancels a call for which nobody waits any longer.
    Cancel(CallKey),
}

/// Message to the thread that shares this node's records with other nodes: the platform thread,
/// through the platform log, or in hosted mode the store thread, through the platform's store.
#[derive(Debug)]
pub enum PlatformMessage {
    /// Appends the record of this node to the member stream of its service, or to the store.
    AppendMember(MemberRecord),
    /// Appends a snapshot to the configuration stream; ignored in hosted mode.
    AppendSnapshot(Snapshot),
    /// Also reads the member streams of these services; ignored in hosted mode.
    Subscribe(Vec<ServiceName>),
}

/// Message to the report thread, which logs events and keeps them for the timeline.
#[derive(Debug)]
pub struct ReportMessage {
    /// Time of the event.
    pub at: WallTime,
    /// Event to log and to keep for the events page.
    pub event: Event,
}

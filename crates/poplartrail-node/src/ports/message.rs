//! What goes over each ring.

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

/// To the decide thread.
#[derive(Debug)]
pub enum DecideMessage {
    /// Something happened.
    Input(Input),
    /// An operator or a front end wants to see the node.
    GetStatus(RingSender<NodeStatus>),
    /// A caller wants a key whose home is here.
    MintKey(RingSender<Option<IdempotencyKey>>),
    /// Somebody wants to know whether the node takes work.
    IsReady(RingSender<bool>),
    /// The own upstream sent a heartbeat.
    Heartbeat {
        /// What it says.
        heartbeat: Heartbeat,
        /// Where the answer goes, once the gate has taken it in.
        reply_to: RingSender<Result<(), HeartbeatError>>,
    },
    /// The own upstream is about to exit.
    Deregister {
        /// What it says.
        deregistration: Deregistration,
        /// Where the answer goes, once the gate has taken it in.
        reply_to: RingSender<()>,
    },
    /// Another node wants the configuration.
    GetConfig(RingSender<Option<Snapshot>>),
    /// Another node wants to know the members, and says who it is.
    ExchangeMembers {
        /// What the other node says of itself.
        peer_record: MemberRecord,
        /// Where the answer goes.
        reply_to: RingSender<Vec<MemberRecord>>,
    },
}

/// To the thread that serves callers.
#[derive(Debug)]
pub enum IngressMessage {
    /// A reply for a ticket.
    Reply {
        /// Who waits.
        ticket: ReplyHandle,
        /// What to tell.
        outcome: Outcome,
    },
    /// Bounds on the connections of callers.
    Limits(CallerLimits),
}

/// To the peers thread.
#[derive(Debug)]
pub enum PeersMessage {
    /// A reply for another node's call.
    Reply {
        /// Who waits.
        ticket: ReplyHandle,
        /// What to tell.
        outcome: Outcome,
        /// State of the gate.
        report: GateReport,
    },
    /// A call for another node.
    Send(PeerCall),
    /// Nobody waits for a call any longer.
    Cancel {
        /// The call.
        call: CallKey,
        /// Which of its sends.
        attempt: u32,
    },
    /// Replace a connection.
    Reconnect {
        /// Address of the other node.
        addr: SocketAddr,
    },
    /// Try to open a connection.
    Probe {
        /// The other node.
        vm: VmName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Ask for the configuration.
    AskConfig {
        /// The other node.
        vm: VmName,
        /// Its address.
        addr: SocketAddr,
    },
    /// Ask for the members.
    AskMembers {
        /// The other node.
        vm: VmName,
        /// Its address.
        addr: SocketAddr,
        /// What this node says of itself.
        local_record: MemberRecord,
    },
    /// Tell that this node is leaving.
    AnnounceDraining(Vec<(VmName, SocketAddr)>),
}

/// To the upstream thread.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// A call for the upstream.
    Dispatch {
        /// The call.
        call: CallKey,
        /// What travels with it.
        context: Context,
        /// The instance that is to run it, if it is known.
        instance: Option<InstanceName>,
        /// Its content.
        payload: Payload,
    },
    /// Nobody waits for a call any longer.
    Cancel(CallKey),
}

/// To the platform thread.
#[derive(Debug)]
pub enum PlatformMessage {
    /// Append to the stream of the own service.
    AppendMember(MemberRecord),
    /// Append a snapshot to the configuration stream.
    AppendSnapshot(Snapshot),
    /// Read more streams.
    Subscribe(Vec<ServiceName>),
}

/// To the report thread.
#[derive(Debug)]
pub struct ReportMessage {
    /// When it happened.
    pub at: WallTime,
    /// What happened.
    pub event: Event,
}

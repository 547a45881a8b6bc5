//! Inputs of a node: calls, results, and changes around it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;

use crate::{
    call::{
        Answer, Idempotency, Outcome, Payload, Refusal, RequestId, RetryBudget, Share,
        UnknownReason,
    },
    config::Snapshot,
    engine::CallKey,
    member::MemberRecord,
    names::{RankName, ServiceName, VmName},
    route::GateReport,
    time::{Time, WallTime},
    upstream::{UpstreamNotice, UpstreamTerms},
};

/// Adapter that waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplyPort {
    /// Adapter of the callers and of the upstream's outbound calls.
    Ingress,
    /// Adapter of the connections from other nodes.
    Peers,
}

/// Handle of a reply that an adapter waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyHandle {
    /// Adapter that the reply goes to.
    pub port: ReplyPort,
    /// Number that the adapter assigned to the call.
    pub id: u64,
}

/// Source of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller outside the fleet. A whole request begins here.
    Caller {
        /// Whether the caller stated a request id, so that repeats can be recognised.
        has_request_id: bool,
    },
    /// The local upstream.
    Upstream {
        /// Inbound call that the upstream is working on; `None` if it names none.
        parent: Option<CallKey>,
    },
    /// A route of the site's configuration, which may lead to any service.
    Routed {
        /// Maximum number of instances that the call may be sent to, one after the other.
        max_attempts: u8,
        /// Whether the local upstream makes the call for a request that it is working on.
        is_nested: bool,
        /// Service of the VM where the call began.
        caller: ServiceName,
    },
    /// Another node.
    Peer {
        /// Retries that the call and its children may spend.
        budget: RetryBudget,
        /// Number of calls above this one in the chain.
        depth: u8,
        /// Smallest share of the rank that gates on the path have admitted so far.
        admitted_share: Share,
        /// Service of the VM where the call began; `None` if the sender states none.
        caller: Option<ServiceName>,
        /// What the sender has heard of the upstream; `None` if it knows of no limit
        /// and does not know that it leaves.
        terms: Option<UpstreamTerms>,
    },
}

/// A request to be routed by its host and path.
#[derive(Debug, Clone, PartialEq)]
pub struct UnroutedRequest {
    /// Handle that the reply goes to.
    pub reply_to: ReplyHandle,
    /// Identity of the request, as the caller states it.
    pub request_id: RequestId,
    /// Host that the request names, in lower case and without a port.
    pub host: Arc<str>,
    /// Time after which the caller no longer waits; `None` if it states none.
    pub deadline: Option<Time>,
    /// Method, target, header fields and body.
    pub payload: Payload,
}

/// A call as an adapter received it.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Handle that the reply goes to.
    pub reply_to: ReplyHandle,
    /// Source of the call.
    pub origin: Origin,
    /// Service that is called.
    pub service: ServiceName,
    /// Identity of the request that the call belongs to.
    pub request_id: RequestId,
    /// Rank of the call if it has no parent call, whose rank takes precedence; `None` for the least
    /// urgent one.
    pub rank: Option<RankName>,
    /// Deadline of the call, bounded by that of the parent call; `None` for the latter, or for the
    /// rank's target if there is no parent.
    pub deadline: Option<Time>,
    /// Whether a second run does harm, and the key that prevents it.
    pub idempotency: Idempotency,
    /// Method, target, header fields and body.
    pub payload: Payload,
}

/// Reason why the upstream gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// No connection could be opened, so no byte of the call was written.
    NotConnected,
    /// The upstream stated that it has not run the call.
    Rejected,
    /// The connection ended or went silent after the call was written.
    Lost,
}

/// Reply of another node.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerOutcome {
    /// The other node's upstream answered.
    Answered(Answer),
    /// The other node did not run the call.
    NotRun {
        /// Reason for the refusal.
        reason: Refusal,
        /// Time to wait before a retry; `None` if a retry would not help.
        retry_after: Option<Duration>,
        /// VM of the node that refused the call, which may be further down the chain.
        refused_by: VmName,
    },
    /// The other node does not know whether the call ran.
    Unknown(UnknownReason),
}

impl From<Outcome> for PeerOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(answer) => PeerOutcome::Answered(answer),
            Outcome::NotRun(not_run) => PeerOutcome::NotRun {
                reason: not_run.reason(),
                retry_after: not_run.retry_after(),
                refused_by: not_run.refused_by().clone(),
            },
            Outcome::Unknown(unknown) => PeerOutcome::Unknown(unknown.reason),
        }
    }
}

/// Reason why another node gave no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFault {
    /// The call was not written to the network.
    Unsent,
    /// The connection ended or went silent after the call was written.
    Lost,
}

/// A stream of the platform log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamId {
    /// Changes of the configuration.
    Config,
    /// Members and key leases of one service.
    Members(ServiceName),
}

/// A record as read from the platform log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRecord<T> {
    /// Position in the stream.
    pub offset: u64,
    /// Timestamp that the log assigned.
    pub at: WallTime,
    /// Decoded content.
    pub body: T,
}

/// Records of one stream, in order of their offsets.
#[derive(Debug, Clone, PartialEq)]
pub enum LogBatch {
    /// Records of the configuration stream.
    Config {
        /// Oldest offset that the log still has.
        oldest: u64,
        /// Records since the last batch.
        records: Vec<LogRecord<crate::config::ConfigRecord>>,
    },
    /// Records of the member stream of a service.
    Members {
        /// Service of the stream.
        service: ServiceName,
        /// Oldest offset that the log still has, with its timestamp.
        oldest: (u64, WallTime),
        /// Records since the last batch.
        records: Vec<LogRecord<MemberRecord>>,
    },
}

/// An event from outside that a node handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A call arrived.
    CallArrived(Arrival),
    /// A request arrived that is to be routed by the site's configuration.
    RequestArrived(UnroutedRequest),
    /// The newest configuration of the site was read, as the operators wrote it.
    SiteDocument(Bytes),
    /// A connection to this VM is open.
    PeerReachable(VmName),
    /// The caller no longer waits for a reply.
    CallerLeft(ReplyHandle),
    /// The upstream answered a call, or will not.
    UpstreamDone {
        /// Identity given in [`Output::Dispatch`](crate::engine::Output::Dispatch).
        call: CallKey,
        /// Answer, or the reason why there is none.
        result: Result<Answer, UpstreamFault>,
        /// What the upstream says of itself; `None` if no answer of its own arrived.
        notice: Option<UpstreamNotice>,
    },
    /// Another node replied, or will not.
    PeerDone {
        /// Identity given in [`Output::Send`](crate::engine::Output::Send).
        call: CallKey,
        /// Number of the attempt that ended.
        attempt: u32,
        /// Reply with the state of the other node's gate, or the reason why there is none.
        result: Result<(PeerOutcome, GateReport), PeerFault>,
    },
    /// The upstream stated its concurrency.
    UpstreamSlots {
        /// Number of calls that the upstream can run at once.
        slots: u32,
    },
    /// The upstream has restarted with no call in progress.
    UpstreamRestarted,
    /// Records of the platform log were read.
    LogRead {
        /// Records of one stream.
        batch: LogBatch,
        /// Present time by the clock of the log.
        log_now: WallTime,
    },
    /// Another node sent its configuration.
    PeerConfig(Snapshot),
    /// The node on this VM has no newer configuration than this one.
    ConfigConfirmed(VmName),
    /// The node on this VM announced that it is draining.
    PeerDraining(VmName),
    /// Another node sent the members that it knows.
    PeerMembers(Vec<MemberRecord>),
    /// Records of members were read from the store: first the newest of all members, then further
    /// ones.
    StoredMembers(Vec<MemberRecord>),
    /// The newest records of all members were read again, because the store has come back from a copy
    /// or has dropped records that were not read.
    RestoredMembers(Vec<MemberRecord>),
    /// The store has accepted a member record of this node.
    MemberStored(Box<MemberRecord>),
    /// Data sent on the open connection to this VM is not acknowledged.
    PeerSilent(VmName),
    /// The time that `Node::next_wake` returned has come.
    Wake,
    /// Start draining, because the node is to stop.
    Drain,
    /// Refuse all new calls, because callers have had time to switch to other nodes.
    Close,
    /// End every call now with a reply, because the process is about to exit.
    Terminate,
}

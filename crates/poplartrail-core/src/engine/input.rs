//! Everything that can happen to a node.

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
};

/// The adapter that waits for a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReplyPort {
    /// Callers and the own upstream.
    Ingress,
    /// Other nodes.
    Peers,
}

/// A reply that an adapter waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReplyHandle {
    /// The adapter.
    pub port: ReplyPort,
    /// The adapter's own number for the call.
    pub id: u64,
}

/// Where a call comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Origin {
    /// A caller outside the fleet; a whole request begins here.
    Caller {
        /// Whether the caller stated the request's identity, so that it can repeat it.
        has_request_id: bool,
    },
    /// The own upstream, while it works on `parent`; `None` if it works on no call.
    Upstream {
        /// The inbound call that the upstream works on.
        parent: Option<CallKey>,
    },
    /// A route of the site's configuration; the call may be for any service.
    Routed {
        /// Instances to which the call may be sent.
        max_attempts: u8,
        /// Whether the own upstream makes the call for a request that it is working on.
        is_nested: bool,
        /// Service on the VM where the call began.
        caller: ServiceName,
    },
    /// Another node.
    Peer {
        /// Retries that the call and its children may cause.
        budget: RetryBudget,
        /// Calls above this one in the chain.
        depth: u8,
        /// Smallest share of its rank that the request has passed.
        admitted_share: Share,
        /// Service on the VM where the call began, if the upstream expects to be told.
        caller: Option<ServiceName>,
    },
}

/// A request of which the configuration tells where it goes.
#[derive(Debug, Clone, PartialEq)]
pub struct UnroutedRequest {
    /// Where the reply goes.
    pub reply_to: ReplyHandle,
    /// Its identity, as the caller states it.
    pub request_id: RequestId,
    /// The host that it names, in lower case and without a port.
    pub host: Arc<str>,
    /// The point after which the caller no longer waits, if it says so.
    pub deadline: Option<Time>,
    /// Its content.
    pub payload: Payload,
}

/// A call as an adapter received it.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Where the reply goes.
    pub reply_to: ReplyHandle,
    /// Where the call comes from.
    pub origin: Origin,
    /// The service that it is for.
    pub service: ServiceName,
    /// The whole request that it belongs to.
    pub request_id: RequestId,
    /// Its rank; `None` takes the parent's, or else the least urgent one.
    pub rank: Option<RankName>,
    /// Its deadline; `None` takes the parent's or the rank's target.
    pub deadline: Option<Time>,
    /// Whether a second run does harm.
    pub idempotency: Idempotency,
    /// Its content.
    pub payload: Payload,
}

/// Why the upstream gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamFault {
    /// No connection could be made, so not one byte of the call was written.
    NotConnected,
    /// The upstream said that it has not run the call.
    Rejected,
    /// The connection ended or went silent after the call was written.
    Lost,
}

/// What another node says of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerOutcome {
    /// Its upstream answered.
    Answered(Answer),
    /// It did not run the call.
    NotRun {
        /// Why.
        reason: Refusal,
        /// How long to wait before a repeat.
        retry_after: Option<Duration>,
        /// Whose gate refused.
        by: VmName,
    },
    /// It cannot tell whether the call ran.
    Unknown(UnknownReason),
}

impl From<Outcome> for PeerOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Answered(answer) => PeerOutcome::Answered(answer),
            Outcome::NotRun(not_run) => PeerOutcome::NotRun {
                reason: not_run.reason(),
                retry_after: not_run.retry_after(),
                by: not_run.refused_by().clone(),
            },
            Outcome::Unknown(unknown) => PeerOutcome::Unknown(unknown.reason),
        }
    }
}

/// Why another node gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerFault {
    /// The call was not handed to the network.
    Unsent,
    /// The connection ended or went silent after the call was handed over.
    Lost,
}

/// A stream of the platform log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum StreamId {
    /// Changes of configuration.
    Config,
    /// Members and leases of one service.
    Members(ServiceName),
}

/// A record with what the log adds to it.
#[derive(Debug, Clone, PartialEq)]
pub struct LogRecord<T> {
    /// Position in the stream.
    pub offset: u64,
    /// The log's timestamp.
    pub at: WallTime,
    /// The record.
    pub body: T,
}

/// Records of one stream, in order.
#[derive(Debug, Clone, PartialEq)]
pub enum LogBatch {
    /// Of the configuration stream.
    Config {
        /// Oldest offset that the log still has.
        oldest: u64,
        /// The records.
        records: Vec<LogRecord<crate::config::ConfigRecord>>,
    },
    /// Of a service's stream.
    Members {
        /// The service.
        service: ServiceName,
        /// Oldest offset that the log still has, with its timestamp.
        oldest: (u64, WallTime),
        /// The records.
        records: Vec<LogRecord<MemberRecord>>,
    },
}

/// One thing that happens to a node.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// A call arrives.
    CallArrived(Arrival),
    /// A request arrives that is to be routed by the site's configuration.
    RequestArrived(UnroutedRequest),
    /// The operators' newest configuration of the site, as they wrote it.
    SiteDocument(Bytes),
    /// A connection to this VM is open.
    PeerReachable(VmName),
    /// Nobody waits for a reply any longer.
    CallerLeft(ReplyHandle),
    /// The upstream answered, or will not.
    UpstreamDone {
        /// The call.
        call: CallKey,
        /// The answer.
        result: Result<Answer, UpstreamFault>,
    },
    /// Another node answered, or will not.
    PeerDone {
        /// The call.
        call: CallKey,
        /// Which of its sends.
        attempt: u32,
        /// The answer with the state of the gate.
        result: Result<(PeerOutcome, GateReport), PeerFault>,
    },
    /// The upstream states its load.
    UpstreamSlots {
        /// Places that the upstream says it has.
        slots: u32,
    },
    /// The upstream has come back with no work in progress.
    UpstreamRestarted,
    /// The platform log was read.
    Log {
        /// The records.
        batch: LogBatch,
        /// The log's own time.
        log_now: WallTime,
    },
    /// Another node sent its configuration.
    PeerConfig(Snapshot),
    /// Another node said that it is leaving, or that `vm` is.
    PeerDraining(VmName),
    /// Another node sent the members that it knows.
    PeerMembers(Vec<MemberRecord>),
    /// The network acknowledges nothing on the open connection to this VM.
    PeerSilent(VmName),
    /// The time of the next wake-up has come.
    Wake,
    /// The node is to stop.
    Drain,
    /// Callers have had the time to leave a node that is to stop; it refuses the others.
    Close,
    /// The process is about to end: whatever is in progress gets its answer now.
    Terminate,
}

//! Events for the log, the timeline and the metrics.

use std::{fmt, time::Duration};

use crate::{
    call::{Refusal, RequestId},
    member::MemberState,
    names::{InstanceName, RankName, ServiceName, VmName},
    upstream::CallRate,
};

/// A decision or a change of state on a node, with its cause.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// Request that the event concerns; `None` if it concerns no single one.
    pub request_id: Option<RequestId>,
    /// Rank that the event concerns; `None` if it concerns no single one.
    pub rank: Option<RankName>,
    /// Kind of the event, with its details.
    pub kind: EventKind,
}

/// Source from which a node has read a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigSource {
    /// The platform log, or the platform's store if the node is hosted.
    Platform,
    /// Another node.
    Peer,
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConfigSource::Platform => "the platform",
            ConfigSource::Peer => "another node",
        })
    }
}

/// Kinds of events.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A call that this node had registered was refused before it ran, by this node or another.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// VM of the node that refused the call.
        refused_by: VmName,
        /// Path share of the rank at that time, from 0 to 1.
        share: f64,
    },
    /// A call was refused before it was registered.
    RefusedOnArrival {
        /// Reason for the refusal.
        reason: Refusal,
        /// Service that was called.
        service: ServiceName,
    },
    /// A call was sent again after a failed attempt, at the cost of a retry of its budget.
    Retried {
        /// Service that is called.
        service: ServiceName,
        /// VM that the call is sent to now.
        to: VmName,
        /// Reason why the previous attempt failed.
        cause: &'static str,
        /// Retries that this node may still spend on the call.
        remaining_retries: u8,
    },
    /// A call was sent to another instance because a node refused it before it ran.
    Rerouted {
        /// Service that is called.
        service: ServiceName,
        /// VM of the node that refused the call.
        from: VmName,
        /// Reason for the refusal.
        reason: Refusal,
    },
    /// The local upstream started serving, or takes no new work.
    UpstreamChanged {
        /// Name of the instance; `None` if it is not known.
        instance: Option<InstanceName>,
        /// Label of the new state.
        state: &'static str,
    },
    /// An earlier process of the node has announced that the local upstream takes no new work.
    UpstreamRestored {
        /// Name of the instance.
        instance: InstanceName,
    },
    /// The local upstream names another limit on the rate of its calls than before.
    CallLimitNamed {
        /// Name of the instance.
        instance: InstanceName,
        /// Rate before; `None` if there was no limit.
        from: Option<CallRate>,
        /// Rate from now on; `None` if there is no limit.
        to: Option<CallRate>,
    },
    /// A call is refused because the local upstream has got all the calls that it takes at present.
    CallLimitSpent {
        /// Rate of calls that the upstream takes.
        limit: CallRate,
        /// Time since the upstream last named the limit.
        age: Duration,
        /// Whether it has named the limit to this process, and not only to other nodes.
        is_own: bool,
        /// Number of calls that wait for the next ones which it takes.
        queued: usize,
    },
    /// An answer of the local upstream states that it is about to exit.
    LeavingAnswered {
        /// Name of the instance.
        instance: InstanceName,
    },
    /// The store has lost the latest member record of this node, which is appended again.
    AnnouncementLost {
        /// VM of this node.
        vm: VmName,
        /// State that the record announces.
        state: MemberState,
    },
    /// The operators' configuration of the site is invalid and not applied.
    SiteDocumentRefused {
        /// Description of the error.
        reason: String,
    },
    /// A call ended and it is not known whether it ran.
    OutcomeUnknown {
        /// Description of the reason.
        reason: String,
        /// VM that the call was last sent to.
        vm: VmName,
        /// Time since the call arrived on this node.
        elapsed: Duration,
    },
    /// A request was answered later than the target of its rank.
    Late {
        /// VM that answered.
        vm: VmName,
        /// Time since the request arrived on this node.
        elapsed: Duration,
    },
    /// A call was abandoned because its caller left.
    CallerLeft,
    /// The concurrency limit changed by more than a quarter of its new value.
    LimitChanged {
        /// Limit at the previous event.
        from: usize,
        /// New limit.
        to: usize,
    },
    /// The gate began or ceased to shed calls of a rank, or the goodput controller of a hosted node
    /// changed the fraction of the rank that it admits.
    ShareChanged {
        /// Fraction before the change, from 0 to 1.
        from: f64,
        /// Fraction after the change, from 0 to 1.
        to: f64,
    },
    /// An instance was added to or removed from the router.
    RouteChanged {
        /// VM of the instance.
        vm: VmName,
        /// Description of the change.
        change: &'static str,
    },
    /// A connection is replaced because nothing arrived over it.
    ConnectionSilent {
        /// VM at the other end.
        vm: VmName,
    },
    /// This node now applies this version of the configuration, its first or a newer one.
    ConfigInForce {
        /// Version of the configuration.
        version: u64,
        /// Where the node has read it.
        source: ConfigSource,
    },
    /// A member record was ignored because its incarnation lies in the future.
    MemberIgnored {
        /// VM that the record names.
        vm: VmName,
        /// Its incarnation, in milliseconds of Unix time.
        incarnation: u64,
    },
    /// The node gained or lost leases of key slots.
    LeasesChanged {
        /// Number of key slots held before.
        from: usize,
        /// Number of key slots held now.
        to: usize,
    },
    /// The node started to serve, to drain or to close.
    PhaseChanged {
        /// Label of the new phase.
        phase: &'static str,
    },
}

impl EventKind {
    /// Whether the event explains no failed request by itself, so that a full log may drop it
    /// before others.
    pub fn is_minor(&self) -> bool {
        matches!(
            self,
            EventKind::CallerLeft
                | EventKind::Rerouted { .. }
                | EventKind::Late { .. }
                | EventKind::CallLimitSpent { .. }
        )
    }

    /// Static name of the kind in logs, metrics and filters.
    pub fn label(&self) -> &'static str {
        match self {
            EventKind::Refused { .. } | EventKind::RefusedOnArrival { .. } => "refused",
            EventKind::Retried { .. } => "retried",
            EventKind::Rerouted { .. } => "moved",
            EventKind::UpstreamChanged { .. }
            | EventKind::UpstreamRestored { .. }
            | EventKind::LeavingAnswered { .. } => "upstream",
            EventKind::CallLimitNamed { .. } | EventKind::CallLimitSpent { .. } => "named-limit",
            EventKind::AnnouncementLost { .. } => "announced-again",
            EventKind::SiteDocumentRefused { .. } => "site-refused",
            EventKind::OutcomeUnknown { .. } => "in-doubt",
            EventKind::Late { .. } => "late",
            EventKind::CallerLeft => "caller-left",
            EventKind::LimitChanged { .. } => "limit",
            EventKind::ShareChanged { .. } => "share",
            EventKind::RouteChanged { .. } => "route",
            EventKind::ConnectionSilent { .. } => "silent",
            EventKind::ConfigInForce { .. } => "config",
            EventKind::MemberIgnored { .. } => "ignored",
            EventKind::LeasesChanged { .. } => "leases",
            EventKind::PhaseChanged { .. } => "phase",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventKind::Refused { reason, refused_by, share } => {
                write!(f, "refused by {refused_by}, share {share:.3}: {reason}")
            }
            EventKind::RefusedOnArrival { reason, service } => {
                write!(f, "call of {service} refused on arrival: {reason}")
            }
            EventKind::Retried { service, to, cause, remaining_retries } => {
                write!(
                    f,
                    "call of {service} retried at {to} because {cause}, {remaining_retries} retries left"
                )
            }
            EventKind::Rerouted { service, from, reason } => {
                write!(f, "call of {service} rerouted because {from} refused it: {reason}")
            }
            EventKind::UpstreamChanged { instance: Some(instance), state } => {
                write!(f, "upstream {instance} is {state}")
            }
            EventKind::UpstreamChanged { instance: None, state } => {
                write!(f, "upstream is {state}")
            }
            EventKind::UpstreamRestored { instance } => {
                write!(f, "upstream {instance} is leaving, as an earlier process has announced")
            }
            EventKind::CallLimitNamed { instance, from, to } => {
                write!(f, "upstream {instance} names its limit: ")?;
                write_rate(f, *from)?;
                f.write_str(" -> ")?;
                write_rate(f, *to)
            }
            EventKind::CallLimitSpent { limit, age, is_own, queued } => {
                let source = if *is_own { "an answer" } else { "another node" };
                let age_ms = age.as_millis();
                write!(
                    f,
                    "limit of {limit} spent, known from {source} {age_ms} ms ago, {queued} calls queued"
                )
            }
            EventKind::LeavingAnswered { instance } => {
                write!(f, "upstream {instance} states in an answer that it is leaving")
            }
            EventKind::AnnouncementLost { vm, state } => {
                let state = match state {
                    MemberState::Serving => "serving",
                    MemberState::Draining => "leaving",
                };
                write!(f, "store has lost the record that {vm} is {state}: appended again")
            }
            EventKind::SiteDocumentRefused { reason } => {
                write!(f, "configuration cannot be used: {reason}")
            }
            EventKind::CallerLeft => f.write_str("call abandoned because its caller left"),
            EventKind::OutcomeUnknown { reason, vm, elapsed } => {
                write!(f, "not known whether it ran at {vm}, {} ms: {reason}", elapsed.as_millis())
            }
            EventKind::Late { vm, elapsed } => {
                write!(
                    f,
                    "answered by {vm} after {} ms, later than the target",
                    elapsed.as_millis()
                )
            }
            EventKind::LimitChanged { from, to } => write!(f, "limit {from} -> {to}"),
            EventKind::ShareChanged { from, to } => write!(f, "share {from:.3} -> {to:.3}"),
            EventKind::RouteChanged { vm, change } => write!(f, "{vm} {change}"),
            EventKind::ConnectionSilent { vm } => {
                write!(f, "connection to {vm} was silent and is replaced")
            }
            EventKind::ConfigInForce { version, source } => {
                write!(f, "configuration {version} in force, read from {source}")
            }
            EventKind::MemberIgnored { vm, incarnation } => write!(
                f,
                "member record of {vm} ignored: its start at {incarnation} ms lies in the future"
            ),
            EventKind::LeasesChanged { from, to } => write!(f, "key slots held {from} -> {to}"),
            EventKind::PhaseChanged { phase } => write!(f, "node is {phase}"),
        }
    }
}

fn write_rate(f: &mut fmt::Formatter<'_>, rate: Option<CallRate>) -> fmt::Result {
    match rate {
        Some(rate) => write!(f, "{rate}"),
        None => f.write_str("none"),
    }
}

//! Events of the time line.

use std::{fmt, time::Duration};

use crate::{
    call::{Refusal, RequestId},
    names::{InstanceName, RankName, ServiceName, VmName},
};

/// What happened, with what it concerns.
#[derive(Debug, Clone, PartialEq)]
pub struct Event {
    /// The whole request, if it concerns one.
    pub request_id: Option<RequestId>,
    /// The rank, if it concerns one.
    pub rank: Option<RankName>,
    /// What happened and why.
    pub kind: EventKind,
}

/// Kinds of events.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A call was refused before it ran.
    Refused {
        /// Why.
        reason: Refusal,
        /// The gate that refused.
        by: VmName,
        /// Fraction of the rank that was admitted then.
        share: f64,
    },
    /// A call was refused before anything was decided on it.
    RefusedOnArrival {
        /// Why.
        reason: Refusal,
        /// The service that it named.
        service: ServiceName,
    },
    /// A call was sent again.
    Retried {
        /// The service.
        service: ServiceName,
        /// Where it goes now.
        to: VmName,
        /// Why the last try failed.
        why: &'static str,
        /// Retries that the call may still cause here.
        left: u8,
    },
    /// A call went elsewhere because a node turned it away before it ran.
    Rerouted {
        /// The service.
        service: ServiceName,
        /// The node that turned it away.
        from: VmName,
        /// Why.
        reason: Refusal,
    },
    /// The upstream beside the node appeared, or takes no new work.
    UpstreamChanged {
        /// Name of the instance, if one is known.
        instance: Option<InstanceName>,
        /// What it is now.
        to: &'static str,
    },
    /// The operators' configuration of the site cannot be used.
    SiteDocumentRefused {
        /// Why.
        why: String,
    },
    /// A call ended without anybody knowing whether it ran.
    OutcomeUnknown {
        /// Why.
        why: String,
        /// Where it was last.
        at: VmName,
        /// Time since it came to this node.
        after: Duration,
    },
    /// A request was answered later than its target.
    Late {
        /// Where it ran.
        at: VmName,
        /// Time since it came to this node.
        after: Duration,
    },
    /// A call was dropped because its caller left.
    CallerLeft,
    /// The limit on calls in progress changed.
    LimitChanged {
        /// Before.
        from: usize,
        /// After.
        to: usize,
    },
    /// The admitted fraction of a rank changed.
    ShareChanged {
        /// Before.
        from: f64,
        /// After.
        to: f64,
    },
    /// An instance was added to the routes, or taken out.
    RouteChanged {
        /// The instance.
        vm: VmName,
        /// What changed.
        what: &'static str,
    },
    /// A connection was replaced because nothing came over it.
    ConnectionSilent {
        /// The instance.
        vm: VmName,
    },
    /// A configuration came into force.
    ConfigInForce {
        /// Number of accepted changes.
        version: u64,
    },
    /// A lease was gained or lost.
    LeasesChanged {
        /// Slots held before.
        from: usize,
        /// Slots held after.
        to: usize,
    },
    /// The node's phase changed.
    PhaseChanged {
        /// The phase.
        to: &'static str,
    },
}

impl EventKind {
    /// Whether the event explains no failed request by itself: it may be left out of a full log
    /// before others are.
    pub fn is_minor(&self) -> bool {
        matches!(self, EventKind::CallerLeft | EventKind::Rerouted { .. } | EventKind::Late { .. })
    }

    /// A short word for filters.
    pub fn label(&self) -> &'static str {
        match self {
            EventKind::Refused { .. } | EventKind::RefusedOnArrival { .. } => "refused",
            EventKind::Retried { .. } => "retried",
            EventKind::Rerouted { .. } => "moved",
            EventKind::UpstreamChanged { .. } => "upstream",
            EventKind::SiteDocumentRefused { .. } => "site-refused",
            EventKind::OutcomeUnknown { .. } => "in-doubt",
            EventKind::Late { .. } => "late",
            EventKind::CallerLeft => "caller-left",
            EventKind::LimitChanged { .. } => "limit",
            EventKind::ShareChanged { .. } => "share",
            EventKind::RouteChanged { .. } => "route",
            EventKind::ConnectionSilent { .. } => "silent",
            EventKind::ConfigInForce { .. } => "config",
            EventKind::LeasesChanged { .. } => "leases",
            EventKind::PhaseChanged { .. } => "phase",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventKind::Refused { reason, by, share } => {
                write!(f, "refused by {by}, share {share:.3}: {reason}")
            }
            EventKind::RefusedOnArrival { reason, service } => {
                write!(f, "call of {service} turned away: {reason}")
            }
            EventKind::Retried { service, to, why, left } => {
                write!(f, "{service} again at {to} because {why}, {left} retries left")
            }
            EventKind::Rerouted { service, from, reason } => {
                write!(f, "{service} elsewhere, turned away by {from}: {reason}")
            }
            EventKind::UpstreamChanged { instance: Some(instance), to } => {
                write!(f, "upstream {instance} is {to}")
            }
            EventKind::UpstreamChanged { instance: None, to } => write!(f, "upstream is {to}"),
            EventKind::SiteDocumentRefused { why } => {
                write!(f, "configuration cannot be used: {why}")
            }
            EventKind::CallerLeft => f.write_str("dropped, as its caller left"),
            EventKind::OutcomeUnknown { why, at, after } => {
                write!(f, "not known whether it ran at {at}, {} ms: {why}", after.as_millis())
            }
            EventKind::Late { at, after } => {
                write!(f, "answered late by {at}, {} ms", after.as_millis())
            }
            EventKind::LimitChanged { from, to } => write!(f, "limit {from} -> {to}"),
            EventKind::ShareChanged { from, to } => write!(f, "share {from:.3} -> {to:.3}"),
            EventKind::RouteChanged { vm, what } => write!(f, "{vm} {what}"),
            EventKind::ConnectionSilent { vm } => {
                write!(f, "connection to {vm} silent, replaced")
            }
            EventKind::ConfigInForce { version } => write!(f, "configuration {version} in force"),
            EventKind::LeasesChanged { from, to } => write!(f, "slots held {from} -> {to}"),
            EventKind::PhaseChanged { to } => write!(f, "node is {to}"),
        }
    }
}

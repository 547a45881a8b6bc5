//! Records of a service's member stream in the platform log.

use crate::{
    keys::{KeySlot, LeaseChange, LeaseTerms},
    member::Member,
    time::Time,
    upstream::UpstreamIncarnation,
};

/// State that a node announces of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// The node accepts work.
    Serving,
    /// The node accepts no new work and finishes the calls in progress.
    Draining,
}

/// Change of the lease of one key slot in the sender's availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotChange {
    /// Key slot that the change is for.
    pub slot: KeySlot,
    /// Change that the sender asks for.
    pub lease_change: LeaseChange,
}

/// One append of a node: its announcement, its heartbeat and its lease changes in one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Node that sent the record.
    pub member: Member,
    /// Whether the sender serves or drains.
    pub state: MemberState,
    /// Terms of the leases that the record asks for.
    pub terms: LeaseTerms,
    /// Time at which the sender sent the record, by its own monotonic clock. It has no meaning for
    /// other nodes.
    pub sent_at: Time,
    /// Lease changes, in the order in which they apply.
    pub slot_changes: Vec<SlotChange>,
    /// Upstream that the state is about. A later process of the sender reads it, to know of an
    /// upstream that drains. `None` if the sender is not hosted or knows no upstream.
    pub upstream: Option<UpstreamIncarnation>,
}

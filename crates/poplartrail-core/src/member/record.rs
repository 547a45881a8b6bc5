//! Records of the stream that each service has in the platform log.

use crate::{
    keys::{KeySlot, LeaseChange, LeaseTerms},
    member::Member,
    time::Time,
};

/// What a node says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// It serves.
    Serving,
    /// It takes no new work and finishes what it has.
    Draining,
}

/// A change of the lease of one slot in the node's own availability zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotChange {
    /// The slot.
    pub slot: KeySlot,
    /// What is asked.
    pub change: LeaseChange,
}

/// One append of a node: its announcement, its sign of life and its lease changes together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberRecord {
    /// Who speaks.
    pub member: Member,
    /// Whether it serves.
    pub state: MemberState,
    /// Terms of the leases that it asks for.
    pub terms: LeaseTerms,
    /// When the node sent the record, by its own monotonic clock; of use to itself alone.
    pub sent_at: Time,
    /// Lease changes, in order.
    pub slots: Vec<SlotChange>,
}

//! What the store holds of the state that a hosted node has announced.

use crate::{
    member::{MemberRecord, MemberState},
    upstream::UpstreamIncarnation,
};

/// The latest member record of a hosted node, and whether the store holds it.
///
/// The node repeats an append until the store accepts it, so that a record that is not stored yet
/// will be.
#[derive(Debug, Default)]
pub(crate) struct Announcement {
    /// Whether the record of an earlier process of the node has been read, or there is none.
    is_restored: bool,
    latest: Option<MemberRecord>,
    /// Whether the store holds `latest`.
    is_stored: bool,
}

impl Announcement {
    /// Whether the record of an earlier process has been read, so that it is known which upstream
    /// that process has acknowledged as draining.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored
    }

    /// Whether the store holds the latest record, or there is none to append.
    pub(crate) fn is_stored(&self) -> bool {
        self.is_restored && (self.latest.is_none() || self.is_stored)
    }

    /// Whether the latest record states that `upstream` takes no new work.
    pub(crate) fn has_left(&self, upstream: &UpstreamIncarnation) -> bool {
        self.latest.as_ref().is_some_and(|record| {
            record.state == MemberState::Draining && record.upstream.as_ref() == Some(upstream)
        })
    }

    /// Records that the store's records have been read; `stored` is that of this node. The store
    /// holds the latest one also if the response to its append was lost.
    pub(crate) fn record_read(&mut self, stored: Option<&MemberRecord>) {
        self.is_restored = true;
        let Some(stored) = stored else { return };
        if self.latest.is_none() {
            self.latest = Some(stored.clone());
        }
        self.record_stored(stored);
    }

    /// Records that the store may have lost the latest record.
    pub(crate) fn record_loss(&mut self) {
        self.is_stored = false;
    }

    /// Returns the latest record if the store is not known to hold it.
    pub(crate) fn unstored(&self) -> Option<&MemberRecord> {
        self.latest.as_ref().filter(|_| !self.is_stored)
    }

    /// Records that the node appends `record`.
    pub(crate) fn record_appended(&mut self, record: &MemberRecord) {
        self.latest = Some(record.clone());
        self.is_stored = false;
    }

    /// Records that the store holds `record`.
    pub(crate) fn record_stored(&mut self, record: &MemberRecord) {
        self.is_stored |= self.latest.as_ref() == Some(record);
    }
}

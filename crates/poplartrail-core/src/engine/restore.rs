//! What a hosted node learns from the records that its earlier processes have left in the store.

use std::time::Duration;

use crate::{
    call::Refusal,
    engine::{Event, EventKind, Node, Output},
    member::{MemberRecord, MemberState},
    time::{Time, WallTime},
    upstream::{UpstreamChange, UpstreamIncarnation},
};

/// Largest difference assumed between the clocks of two VMs.
const MAX_CLOCK_DIFFERENCE: Duration = Duration::from_secs(3600);

impl Node {
    /// Whether the node knows which upstream its earlier processes have acknowledged as draining.
    /// Until then it handles no message of the upstream: a heartbeat that has been in transit for
    /// seconds would register an upstream that has left.
    pub fn is_restored(&self) -> bool {
        self.hosted.as_ref().is_none_or(|hosted| hosted.announcement.is_restored())
    }

    /// Whether the store holds the state of the upstream that the node has announced last, so that
    /// a later process of the node knows it too.
    pub fn is_announcement_stored(&self) -> bool {
        self.hosted.as_ref().is_none_or(|hosted| hosted.announcement.is_stored())
    }

    /// Applies member records of the store, the first of which are the newest of all members.
    pub(super) fn handle_stored_members(
        &mut self,
        now: Time,
        wall: WallTime,
        members: Vec<MemberRecord>,
        out: &mut Vec<Output>,
    ) {
        let is_local = |record: &&MemberRecord| record.member.vm == self.local_member.vm;
        let local_records: Vec<MemberRecord> = members.iter().filter(is_local).cloned().collect();
        self.handle_peer_members(now, wall, members, out);
        for record in &local_records {
            self.restore_upstream(now, wall, record, out);
        }
        if let Some(hosted) = &mut self.hosted {
            hosted.announcement.record_read(local_records.last());
        }
    }

    /// Applies the newest member records of a store that may have lost later ones, and appends that
    /// of this node again if it is among those.
    pub(super) fn handle_restored_members(
        &mut self,
        now: Time,
        wall: WallTime,
        members: Vec<MemberRecord>,
        out: &mut Vec<Output>,
    ) {
        if let Some(hosted) = &mut self.hosted {
            hosted.announcement.record_loss();
        }
        self.handle_stored_members(now, wall, members, out);
        let lost = self.hosted.as_ref().and_then(|hosted| hosted.announcement.unstored());
        if let Some(record) = lost.cloned() {
            let (vm, state) = (record.member.vm.clone(), record.state);
            let kind = EventKind::AnnouncementLost { vm, state };
            out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
            out.push(Output::AppendMember(record));
        }
    }

    /// Records that the store has accepted `record` of this node.
    pub(super) fn handle_member_stored(&mut self, record: &MemberRecord) {
        if let Some(hosted) = &mut self.hosted {
            hosted.announcement.record_stored(record);
        }
    }

    /// Applies a record of this VM, which may be from an earlier process whose append took effect
    /// late.
    fn restore_upstream(
        &mut self,
        now: Time,
        wall: WallTime,
        record: &MemberRecord,
        out: &mut Vec<Output>,
    ) {
        if !is_plausible(wall, record) {
            return;
        }
        // A clock that was set back must not make the next announcement older than the last one.
        let incarnation = self.local_member.incarnation.max(record.member.incarnation);
        self.local_member.incarnation = incarnation;
        self.calls.local_member.incarnation = incarnation;
        let (Some(hosted), Some(upstream)) = (&mut self.hosted, &record.upstream) else { return };
        if record.state != MemberState::Draining || hosted.upstream.left() == Some(upstream) {
            return;
        }
        let change = hosted.upstream.restore_drained(upstream.clone());
        if hosted.upstream.left() != Some(upstream) {
            return;
        }
        let kind = EventKind::UpstreamRestored { instance: upstream.instance.clone() };
        out.push(Output::RecordEvent(Event { request_id: None, rank: None, kind }));
        match change {
            UpstreamChange::StoppedServing => self.handle_upstream_change(now, wall, change, out),
            _ => {
                self.calls.set_upstream_state(Err(Refusal::Draining));
                self.calls.upstream_incarnation = Some(upstream.clone());
            }
        }
    }

    /// Announces an upstream that takes no new work, unless the latest record states that.
    pub(super) fn announce_left(&mut self, out: &mut Vec<Output>) {
        let Some(hosted) = &self.hosted else { return };
        let left = hosted.upstream.left();
        if left.is_some_and(|upstream| !hosted.announcement.has_left(upstream)) {
            self.announce_state(MemberState::Draining, out);
        }
    }
}

/// Whether the times in `record` are no later than clocks may differ. A later one could not be
/// replaced by any record or heartbeat to come.
pub(super) fn is_plausible(wall: WallTime, record: &MemberRecord) -> bool {
    let max = wall + MAX_CLOCK_DIFFERENCE;
    let is_past = |upstream: &UpstreamIncarnation| upstream.started_at <= max;
    record.member.incarnation <= max.as_millis() && record.upstream.as_ref().is_none_or(is_past)
}

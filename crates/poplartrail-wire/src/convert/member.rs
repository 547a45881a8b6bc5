//! Records of the member streams in the platform log.

use std::{net::SocketAddr, time::Duration};

use poplartrail_core::{
    keys::{KeySlot, LeaseChange, LeaseTerms},
    member::{Member, MemberRecord, MemberState, SlotChange},
    names::{InstanceName, ServiceName, VmName, ZoneName},
    time::{Time, WallTime},
    upstream::UpstreamIncarnation,
};
use prost::Message;

use crate::{WireError, convert, generated as wire};

/// Encodes a record of a member stream.
pub fn encode_member_record(record: &MemberRecord) -> Vec<u8> {
    member_record_to_wire(record).encode_to_vec()
}

/// Decodes a record of a member stream.
pub fn decode_member_record(bytes: &[u8]) -> Result<MemberRecord, WireError> {
    member_record_from_wire(convert::decode_message(bytes)?)
}

pub(crate) fn member_record_to_wire(record: &MemberRecord) -> wire::MemberRecord {
    let member = &record.member;
    wire::MemberRecord {
        member: Some(wire::Member {
            vm: member.vm.to_string(),
            incarnation: member.incarnation,
            service: member.service.to_string(),
            zone: member.zone.to_string(),
            addr: member.addr.to_string(),
            report: member.report_addr.to_string(),
        }),
        draining: record.state == MemberState::Draining,
        term_ms: record.terms.duration.as_millis() as u32,
        skew_ms: record.terms.max_skew.as_millis() as u32,
        sent_ns: record.sent_at.as_nanos(),
        slots: record.slot_changes.iter().map(slot_change_to_wire).collect(),
        upstream: record.upstream.as_ref().map(upstream_to_wire),
    }
}

pub(crate) fn member_record_from_wire(
    record: wire::MemberRecord,
) -> Result<MemberRecord, WireError> {
    let member = record.member.ok_or(WireError::MissingField("MemberRecord.member"))?;
    Ok(MemberRecord {
        member: Member {
            vm: VmName::new(&member.vm)?,
            incarnation: member.incarnation,
            service: ServiceName::new(&member.service)?,
            zone: ZoneName::new(&member.zone)?,
            addr: decode_addr(&member.addr)?,
            report_addr: decode_addr(&member.report)?,
        },
        state: if record.draining { MemberState::Draining } else { MemberState::Serving },
        terms: LeaseTerms {
            duration: Duration::from_millis(u64::from(record.term_ms)),
            max_skew: Duration::from_millis(u64::from(record.skew_ms)),
        },
        sent_at: Time::from_nanos(record.sent_ns),
        slot_changes: record
            .slots
            .into_iter()
            .map(slot_change_from_wire)
            .collect::<Result<_, _>>()?,
        upstream: record.upstream.as_ref().map(upstream_from_wire).transpose()?,
    })
}

pub(crate) fn upstream_to_wire(upstream: &UpstreamIncarnation) -> wire::Upstream {
    wire::Upstream {
        instance: upstream.instance.to_string(),
        started_ms: upstream.started_at.as_millis(),
    }
}

pub(crate) fn upstream_from_wire(
    upstream: &wire::Upstream,
) -> Result<UpstreamIncarnation, WireError> {
    Ok(UpstreamIncarnation {
        instance: InstanceName::new(&upstream.instance)?,
        started_at: WallTime::from_millis(upstream.started_ms),
    })
}

/// Decodes an address that a node can connect to.
fn decode_addr(text: &str) -> Result<SocketAddr, WireError> {
    let addr: Option<SocketAddr> = text.parse().ok();
    addr.filter(|addr| addr.port() != 0 && !addr.ip().is_unspecified())
        .ok_or(WireError::InvalidValue("address"))
}

fn slot_change_to_wire(change: &SlotChange) -> wire::SlotChange {
    use wire::slot_change::Kind;
    let (kind, last_accepted) = match change.lease_change {
        LeaseChange::Claim => (Kind::Claim, WallTime::default()),
        LeaseChange::Renew => (Kind::Renew, WallTime::default()),
        LeaseChange::Release { last_accepted } => (Kind::Release, last_accepted),
    };
    wire::SlotChange {
        slot: u32::from(change.slot.0),
        kind: kind.into(),
        accepted_ms: last_accepted.as_millis(),
    }
}

fn slot_change_from_wire(change: wire::SlotChange) -> Result<SlotChange, WireError> {
    use wire::slot_change::Kind;
    let slot = u16::try_from(change.slot).map_err(|_| WireError::InvalidValue("slot"))?;
    let kind = Kind::try_from(change.kind).map_err(|_| WireError::InvalidValue("lease change"))?;
    let lease_change = match kind {
        Kind::Claim => LeaseChange::Claim,
        Kind::Renew => LeaseChange::Renew,
        Kind::Release => {
            LeaseChange::Release { last_accepted: WallTime::from_millis(change.accepted_ms) }
        }
    };
    Ok(SlotChange { slot: KeySlot(slot), lease_change })
}

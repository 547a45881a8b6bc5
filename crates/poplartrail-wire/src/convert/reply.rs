//! Replies to requests of other nodes.

use std::time::Duration;

use poplartrail_core::{
    call::{Answer, Outcome, Refusal, RetryBudget, Share, UnknownReason},
    config::Snapshot,
    engine::PeerOutcome,
    member::MemberRecord,
    names::VmName,
    route::GateReport,
};
use prost::Message;

use crate::{
    WireError,
    convert::{
        self,
        call::{field_from_wire, field_to_wire},
        config::{snapshot_from_wire, snapshot_to_wire},
        member::{member_record_from_wire, member_record_to_wire},
    },
    generated as wire,
};

/// Reply of another node.
#[derive(Debug, Clone)]
pub enum PeerReply {
    /// Outcome of a call, with the report of the gate that handled it.
    Call(PeerOutcome, GateReport),
    /// Configuration that the other node has in force.
    Config(Snapshot),
    /// The other node has no newer configuration.
    Unchanged,
    /// Members that the other node knows.
    Members(Vec<MemberRecord>),
}

/// Decodes a reply of another node.
pub fn decode_reply(bytes: &[u8]) -> Result<PeerReply, WireError> {
    use wire::peer_reply::Body;
    let message: wire::PeerReply = convert::decode_message(bytes)?;
    Ok(match message.body.ok_or(WireError::MissingField("PeerReply.body"))? {
        Body::Call(reply) => {
            let report = report_from_wire(reply.report.unwrap_or_default())?;
            let outcome = outcome_from_wire(
                reply.outcome.ok_or(WireError::MissingField("CallReply.outcome"))?,
            )?;
            PeerReply::Call(outcome, report)
        }
        Body::Config(snapshot) => PeerReply::Config(snapshot_from_wire(snapshot)?),
        Body::Unchanged(wire::Unchanged {}) => PeerReply::Unchanged,
        Body::Members(members) => {
            let records = members.records.into_iter().map(member_record_from_wire);
            PeerReply::Members(records.collect::<Result<_, _>>()?)
        }
    })
}

fn encode_reply(body: wire::peer_reply::Body) -> Vec<u8> {
    wire::PeerReply { body: Some(body) }.encode_to_vec()
}

/// Encodes the reply to a call.
pub fn encode_call_reply(outcome: &Outcome, report: &GateReport) -> Vec<u8> {
    encode_reply(wire::peer_reply::Body::Call(wire::CallReply {
        outcome: Some(outcome_to_wire(outcome)),
        report: Some(report_to_wire(report)),
    }))
}

/// Encodes the reply to a request for the configuration.
pub fn encode_config(snapshot: &Snapshot) -> Vec<u8> {
    encode_reply(wire::peer_reply::Body::Config(snapshot_to_wire(snapshot)))
}

/// Encodes the reply to a request for the configuration if there is no newer one.
pub fn encode_unchanged() -> Vec<u8> {
    encode_reply(wire::peer_reply::Body::Unchanged(wire::Unchanged {}))
}

/// Encodes the reply to a request for the known members.
pub fn encode_members(records: &[MemberRecord]) -> Vec<u8> {
    let records = records.iter().map(member_record_to_wire).collect();
    encode_reply(wire::peer_reply::Body::Members(wire::Members { records }))
}

fn outcome_to_wire(outcome: &Outcome) -> wire::call_reply::Outcome {
    use wire::call_reply::Outcome as Wire;
    match outcome {
        Outcome::Answered(answer) => Wire::Answer(wire::Answer {
            status: u32::from(answer.status),
            fields: answer.fields.iter().map(field_to_wire).collect(),
            body: answer.body.clone(),
        }),
        Outcome::NotRun(not_run) => Wire::NotRun(wire::NotRun {
            reason: wire_number(&Refusal::ALL, not_run.reason()),
            retry_after_ms: not_run.retry_after().map(|wait| wait.as_millis() as u32),
            by: not_run.refused_by().to_string(),
        }),
        Outcome::Unknown(unknown) => {
            Wire::Unknown(wire::Unknown { doubt: wire_number(&UnknownReason::ALL, unknown.reason) })
        }
    }
}

fn outcome_from_wire(outcome: wire::call_reply::Outcome) -> Result<PeerOutcome, WireError> {
    use wire::call_reply::Outcome as Wire;
    Ok(match outcome {
        Wire::Answer(answer) => PeerOutcome::Answered(Answer {
            status: u16::try_from(answer.status).map_err(|_| WireError::InvalidValue("status"))?,
            fields: answer.fields.into_iter().map(field_from_wire).collect(),
            body: answer.body,
        }),
        Wire::NotRun(not_run) => PeerOutcome::NotRun {
            reason: from_wire_number(&Refusal::ALL, not_run.reason, "reason")?,
            retry_after: not_run.retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms))),
            refused_by: VmName::new(&not_run.by)?,
        },
        Wire::Unknown(unknown) => {
            PeerOutcome::Unknown(from_wire_number(&UnknownReason::ALL, unknown.doubt, "doubt")?)
        }
    })
}

/// Returns the wire number of `value`: its position in `all` plus one, because 0 means "not set".
fn wire_number<T: PartialEq + Copy>(all: &[T], value: T) -> u32 {
    all.iter().position(|v| *v == value).map_or(0, |at| at as u32 + 1)
}

fn from_wire_number<T: Copy>(all: &[T], number: u32, field: &'static str) -> Result<T, WireError> {
    let at = (number as usize).checked_sub(1).ok_or(WireError::MissingField(field))?;
    all.get(at).copied().ok_or(WireError::InvalidValue(field))
}

fn report_to_wire(report: &GateReport) -> wire::GateReport {
    wire::GateReport {
        share: report.share.raw(),
        shares: report.shares.iter().map(|share| share.raw()).collect(),
        load: u32::from(report.load),
        draining: report.is_draining,
        unspent: u32::from(report.unspent_retries.remaining()),
        config: report.config_version,
    }
}

fn report_from_wire(report: wire::GateReport) -> Result<GateReport, WireError> {
    Ok(GateReport {
        share: Share::from_raw(report.share),
        shares: report.shares.into_iter().map(Share::from_raw).collect(),
        load: report.load.min(u32::from(u16::MAX)) as u16,
        is_draining: report.draining,
        unspent_retries: RetryBudget::new(
            u8::try_from(report.unspent).map_err(|_| WireError::InvalidValue("unspent"))?,
        ),
        config_version: report.config,
    })
}

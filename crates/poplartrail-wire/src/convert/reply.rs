//! Replies between nodes.

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
        call::{field_from, field_to},
        config::{snapshot_from, snapshot_to},
        member::{member_record_from, member_record_to},
    },
    generated as wire,
};

/// What another node replied.
#[derive(Debug, Clone)]
pub enum PeerReply {
    /// The reply to a call.
    Call(PeerOutcome, GateReport),
    /// The configuration.
    Config(Snapshot),
    /// The members that it knows.
    Members(Vec<MemberRecord>),
}

/// Reads a reply.
pub fn decode_reply(bytes: &[u8]) -> Result<PeerReply, WireError> {
    use wire::peer_reply::Body;
    let message: wire::PeerReply = convert::decode(bytes)?;
    Ok(match message.body.ok_or(WireError::Missing("a body"))? {
        Body::Call(reply) => {
            let report = report_from(reply.report.unwrap_or_default())?;
            let outcome = outcome_from(reply.outcome.ok_or(WireError::Missing("an outcome"))?)?;
            PeerReply::Call(outcome, report)
        }
        Body::Config(snapshot) => PeerReply::Config(snapshot_from(snapshot)?),
        Body::Members(members) => {
            let records = members.records.into_iter().map(member_record_from);
            PeerReply::Members(records.collect::<Result<_, _>>()?)
        }
    })
}

fn encode(body: wire::peer_reply::Body) -> Vec<u8> {
    wire::PeerReply { body: Some(body) }.encode_to_vec()
}

/// Writes the outcome of a call.
pub fn encode_outcome(outcome: &Outcome, report: &GateReport) -> Vec<u8> {
    encode(wire::peer_reply::Body::Call(wire::CallReply {
        outcome: Some(outcome_to(outcome)),
        report: Some(report_to(report)),
    }))
}

/// Writes the configuration.
pub fn encode_config(snapshot: &Snapshot) -> Vec<u8> {
    encode(wire::peer_reply::Body::Config(snapshot_to(snapshot)))
}

/// Writes the members.
pub fn encode_members(records: &[MemberRecord]) -> Vec<u8> {
    let records = records.iter().map(member_record_to).collect();
    encode(wire::peer_reply::Body::Members(wire::Members { records }))
}

fn outcome_to(outcome: &Outcome) -> wire::call_reply::Outcome {
    use wire::call_reply::Outcome as Wire;
    match outcome {
        Outcome::Answered(answer) => Wire::Answer(wire::Answer {
            status: u32::from(answer.status),
            fields: answer.fields.iter().map(field_to).collect(),
            body: answer.body.clone(),
        }),
        Outcome::NotRun(not_run) => Wire::NotRun(wire::NotRun {
            reason: number_of(&Refusal::ALL, not_run.reason()),
            retry_after_ms: not_run.retry_after().map(|wait| wait.as_millis() as u32),
            by: not_run.refused_by().to_string(),
        }),
        Outcome::Unknown(unknown) => {
            Wire::Unknown(wire::Unknown { doubt: number_of(&UnknownReason::ALL, unknown.reason) })
        }
    }
}

fn outcome_from(outcome: wire::call_reply::Outcome) -> Result<PeerOutcome, WireError> {
    use wire::call_reply::Outcome as Wire;
    Ok(match outcome {
        Wire::Answer(answer) => PeerOutcome::Answered(Answer {
            status: u16::try_from(answer.status).map_err(|_| WireError::BadValue("status"))?,
            fields: answer.fields.into_iter().map(field_from).collect(),
            body: answer.body,
        }),
        Wire::NotRun(not_run) => PeerOutcome::NotRun {
            reason: numbered(&Refusal::ALL, not_run.reason, "reason")?,
            retry_after: not_run.retry_after_ms.map(|ms| Duration::from_millis(u64::from(ms))),
            by: VmName::new(&not_run.by)?,
        },
        Wire::Unknown(unknown) => {
            PeerOutcome::Unknown(numbered(&UnknownReason::ALL, unknown.doubt, "doubt")?)
        }
    })
}

/// The wire number of a kind: its position plus one, so that 0 stays for "not set".
fn number_of<T: PartialEq + Copy>(all: &[T], kind: T) -> u32 {
    all.iter().position(|k| *k == kind).map_or(0, |at| at as u32 + 1)
}

fn numbered<T: Copy>(all: &[T], number: u32, field: &'static str) -> Result<T, WireError> {
    let at = (number as usize).checked_sub(1).ok_or(WireError::Missing(field))?;
    all.get(at).copied().ok_or(WireError::BadValue(field))
}

fn report_to(report: &GateReport) -> wire::GateReport {
    wire::GateReport {
        share: report.share.raw(),
        shares: report.shares.iter().map(|share| share.raw()).collect(),
        load: u32::from(report.load),
        draining: report.is_draining,
        unspent: u32::from(report.unspent.remaining()),
        config: report.config_version,
    }
}

fn report_from(report: wire::GateReport) -> Result<GateReport, WireError> {
    Ok(GateReport {
        share: Share::from_raw(report.share),
        shares: report.shares.into_iter().map(Share::from_raw).collect(),
        load: report.load.min(u32::from(u16::MAX)) as u16,
        is_draining: report.draining,
        unspent: RetryBudget::new(
            u8::try_from(report.unspent).map_err(|_| WireError::BadValue("unspent"))?,
        ),
        config_version: report.config,
    })
}

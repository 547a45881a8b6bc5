//! Replies to requests of other nodes.

use std::time::Duration;

use bytes::Bytes;
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
        self, PeerMessage,
        call::{field_from_wire, field_to_wire},
        config::{snapshot_from_wire, snapshot_to_wire},
        member::{member_record_from_wire, member_record_to_wire},
        message::{field_len, put_field_start, put_message},
        terms::{terms_from_wire, terms_to_wire},
    },
    generated as wire,
};

/// Number of the field `call` of `PeerReply`.
const CALL_FIELD: u32 = 1;
/// Number of the field `answer` of `CallReply`.
const ANSWER_FIELD: u32 = 1;
/// Number of the field `body` of `Answer`.
const BODY_FIELD: u32 = 3;

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

/// Decodes a reply of another node, whose body is a part of `bytes`.
pub fn decode_reply(bytes: Bytes) -> Result<PeerReply, WireError> {
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

fn encode_reply(body: wire::peer_reply::Body) -> PeerMessage {
    wire::PeerReply { body: Some(body) }.encode_to_vec().into()
}

/// Encodes the reply to a call. The body of an answer is not copied.
pub fn encode_call_reply(outcome: &Outcome, report: &GateReport) -> PeerMessage {
    let report = report_to_wire(report);
    let Outcome::Answered(answer) = outcome else {
        let outcome = Some(outcome_to_wire(outcome));
        let reply = wire::CallReply { outcome, report: Some(report) };
        return encode_reply(wire::peer_reply::Body::Call(reply));
    };
    let body = &answer.body;
    let answer = wire::Answer {
        status: u32::from(answer.status),
        fields: answer.fields.iter().map(field_to_wire).collect(),
        body: Bytes::new(),
    };
    let report = wire::CallReply { outcome: None, report: Some(report) };
    let answer_len = answer.encoded_len() + field_len(BODY_FIELD, body.len());
    let len = report.encoded_len() + field_len(ANSWER_FIELD, answer_len);
    let mut message = PeerMessage::default();
    put_field_start(&mut message.head, CALL_FIELD, len);
    put_message(&mut message.head, &report);
    put_field_start(&mut message.head, ANSWER_FIELD, answer_len);
    put_message(&mut message.head, &answer);
    message.append_body(BODY_FIELD, body.clone())
}

/// Encodes the reply to a request for the configuration.
pub fn encode_config(snapshot: &Snapshot) -> PeerMessage {
    encode_reply(wire::peer_reply::Body::Config(snapshot_to_wire(snapshot)))
}

/// Encodes the reply to a request for the configuration if there is no newer one.
pub fn encode_unchanged() -> PeerMessage {
    encode_reply(wire::peer_reply::Body::Unchanged(wire::Unchanged {}))
}

/// Encodes the reply to a request for the known members.
pub fn encode_members(records: &[MemberRecord]) -> PeerMessage {
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
            status: status_from_wire(answer.status)?,
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

/// Converts a status, which RFC 9110 (section 15) allows from 100 to 599.
fn status_from_wire(status: u32) -> Result<u16, WireError> {
    let status = u16::try_from(status).ok().filter(|status| (100..600).contains(status));
    status.ok_or(WireError::InvalidValue("status"))
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
        terms: report.terms.as_ref().map(terms_to_wire),
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
        terms: report.terms.as_ref().and_then(terms_from_wire),
    })
}

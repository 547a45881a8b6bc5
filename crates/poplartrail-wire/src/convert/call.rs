//! Requests between nodes.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use poplartrail_core::{
    call::{Field, Idempotency, Payload, RequestId, RetryBudget, Share},
    engine::{Arrival, Origin, PeerCall, ReplyHandle},
    keys::IdempotencyKey,
    member::MemberRecord,
    names::{RankName, ServiceName, VmName},
    time::Time,
};
use prost::Message;

use crate::{
    WireError,
    convert::{
        self,
        member::{member_record_from, member_record_to},
    },
    generated as wire,
};

/// What another node asks for.
#[derive(Debug, Clone)]
pub enum PeerRequest {
    /// A call, with the name that the sender states.
    Call(VmName, Box<wire::CallRequest>),
    /// The sender is leaving.
    Leaving(VmName),
    /// The sender wants the configuration.
    AskConfig(VmName),
    /// The sender wants to know the members.
    AskMembers(VmName, Box<MemberRecord>),
}

impl PeerRequest {
    /// The name that the sender states.
    pub fn sender(&self) -> &VmName {
        match self {
            PeerRequest::Call(from, _)
            | PeerRequest::Leaving(from)
            | PeerRequest::AskConfig(from)
            | PeerRequest::AskMembers(from, _) => from,
        }
    }
}

/// Reads a request.
pub fn decode_request(bytes: &[u8]) -> Result<PeerRequest, WireError> {
    use wire::peer_request::Body;
    let message: wire::PeerRequest = convert::decode(bytes)?;
    Ok(match message.body.ok_or(WireError::Missing("a body"))? {
        Body::Call(call) => PeerRequest::Call(VmName::new(&call.from)?, Box::new(call)),
        Body::Leaving(leaving) => PeerRequest::Leaving(VmName::new(leaving.vm)?),
        Body::AskConfig(ask) => PeerRequest::AskConfig(VmName::new(ask.from)?),
        Body::AskMembers(ask) => {
            let own = ask.own.ok_or(WireError::Missing("a member"))?;
            PeerRequest::AskMembers(VmName::new(ask.from)?, Box::new(member_record_from(own)?))
        }
    })
}

fn encode(body: wire::peer_request::Body) -> Vec<u8> {
    wire::PeerRequest { body: Some(body) }.encode_to_vec()
}

/// Writes the news that `vm` is leaving.
pub fn encode_leaving(vm: &VmName) -> Vec<u8> {
    encode(wire::peer_request::Body::Leaving(wire::Leaving { vm: vm.to_string() }))
}

/// Writes a question for the configuration.
pub fn encode_ask_config(from: &VmName) -> Vec<u8> {
    encode(wire::peer_request::Body::AskConfig(wire::AskConfig { from: from.to_string() }))
}

/// Writes a question for the members, with what the sender says of itself.
pub fn encode_ask_members(own: &MemberRecord) -> Vec<u8> {
    let from = own.member.vm.to_string();
    let own = Some(member_record_to(own));
    encode(wire::peer_request::Body::AskMembers(wire::AskMembers { from, own }))
}

/// Writes a call whose deadline is stated as the time left at `now`.
pub fn encode_call(from: &VmName, now: Time, call: &PeerCall) -> Vec<u8> {
    let PeerCall { context, payload, .. } = call;
    let key = context.idempotency.key().map(|key| key.bits().to_be_bytes().to_vec());
    encode(wire::peer_request::Body::Call(wire::CallRequest {
        from: from.to_string(),
        service: call.service.to_string(),
        request: context.request_id.0.to_be_bytes().to_vec().into(),
        rank: context.rank.to_string(),
        left_us: context.deadline.since(now).as_micros() as u64,
        budget: u32::from(call.budget.remaining()),
        depth: u32::from(context.depth),
        passed: call.admitted_share.raw(),
        key: key.unwrap_or_default().into(),
        caller: context.caller.as_ref().map(ServiceName::to_string).unwrap_or_default(),
        at_most_once: context.idempotency == Idempotency::AtMostOnce,
        method: payload.method.to_string(),
        target: payload.target.to_string(),
        fields: payload.fields.iter().map(field_to).collect(),
        body: payload.body.clone(),
    }))
}

/// Makes an arrival of a call that was received at `now`.
pub fn decode_call(
    call: wire::CallRequest,
    ticket: ReplyHandle,
    now: Time,
) -> Result<Arrival, WireError> {
    let byte = |value: u32, field| u8::try_from(value).map_err(|_| WireError::BadValue(field));
    let origin = Origin::Peer {
        budget: RetryBudget::new(byte(call.budget, "budget")?),
        depth: byte(call.depth, "depth")?,
        admitted_share: passed_from(call.passed),
        caller: match call.caller.as_str() {
            "" => None,
            name => Some(ServiceName::new(name)?),
        },
    };
    Ok(Arrival {
        reply_to: ticket,
        origin,
        service: ServiceName::new(&call.service)?,
        request_id: RequestId(convert::id_from(&call.request, "request")?),
        rank: Some(RankName::new(&call.rank)?),
        deadline: Some(now + Duration::from_micros(call.left_us)),
        idempotency: effect_from(&call.key, call.at_most_once)?,
        payload: Payload {
            method: Arc::from(call.method),
            target: Arc::from(call.target),
            fields: call.fields.into_iter().map(field_from).collect(),
            body: call.body,
        },
    })
}

/// The share that a request has passed; a node that states none has shed nothing.
fn passed_from(parts: u32) -> Share {
    if parts == 0 { Share::FULL } else { Share::from_raw(parts) }
}

fn effect_from(key: &Bytes, is_at_most_once: bool) -> Result<Idempotency, WireError> {
    if key.is_empty() {
        return Ok(if is_at_most_once { Idempotency::AtMostOnce } else { Idempotency::Idempotent });
    }
    let bits = convert::id_from(key, "key")?;
    let key = IdempotencyKey::from_bits(bits).map_err(|_| WireError::BadValue("key"))?;
    Ok(Idempotency::Keyed(key))
}

pub(crate) fn field_to(field: &Field) -> wire::Field {
    wire::Field { name: field.name.to_string(), value: field.value.clone() }
}

pub(crate) fn field_from(field: wire::Field) -> Field {
    Field { name: Arc::from(field.name), value: field.value }
}

//! Requests that a node sends to another node: calls, notices that it is draining, and requests for
//! the configuration and the members.

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
        self, PeerMessage,
        member::{member_record_from_wire, member_record_to_wire},
        message::{field_len, put_field_start, put_message},
        terms::{terms_from_wire, terms_to_wire},
    },
    generated as wire,
};

/// Number of the field `call` of `PeerRequest`.
const CALL_FIELD: u32 = 1;
/// Number of the field `body` of `CallRequest`.
const BODY_FIELD: u32 = 12;

/// Request of another node, with the VM that it states as its sender.
///
/// The receiver still has to compare this VM with the certificate of the connection.
#[derive(Debug, Clone)]
pub enum PeerRequest {
    /// A call in its generated type, which [`decode_call`] converts to an [`Arrival`].
    Call(VmName, Box<wire::CallRequest>),
    /// Notice that the sender is draining.
    Leaving(VmName),
    /// Request for the configuration, if it is newer than the sender's.
    AskConfig {
        /// VM of the sender.
        from: VmName,
        /// Version that the sender has in force; 0 if it has none.
        known_version: u64,
    },
    /// Request for the known members, with the member record of the sender.
    AskMembers(VmName, Box<MemberRecord>),
}

impl PeerRequest {
    /// Returns the VM that the message states as its sender.
    pub fn sender(&self) -> &VmName {
        match self {
            PeerRequest::Call(vm, _)
            | PeerRequest::Leaving(vm)
            | PeerRequest::AskConfig { from: vm, .. }
            | PeerRequest::AskMembers(vm, _) => vm,
        }
    }
}

/// Decodes a request of another node, whose body is a part of `bytes`.
pub fn decode_request(bytes: Bytes) -> Result<PeerRequest, WireError> {
    use wire::peer_request::Body;
    let message: wire::PeerRequest = convert::decode_message(bytes)?;
    Ok(match message.body.ok_or(WireError::MissingField("PeerRequest.body"))? {
        Body::Call(call) => PeerRequest::Call(VmName::new(&call.from)?, Box::new(call)),
        Body::Leaving(leaving) => PeerRequest::Leaving(VmName::new(leaving.vm)?),
        Body::AskConfig(ask) => {
            PeerRequest::AskConfig { from: VmName::new(ask.from)?, known_version: ask.known }
        }
        Body::AskMembers(ask) => {
            let record = ask.own.ok_or(WireError::MissingField("AskMembers.own"))?;
            PeerRequest::AskMembers(
                VmName::new(ask.from)?,
                Box::new(member_record_from_wire(record)?),
            )
        }
    })
}

fn encode_request(body: wire::peer_request::Body) -> PeerMessage {
    wire::PeerRequest { body: Some(body) }.encode_to_vec().into()
}

/// Encodes the notice that the node on `vm` is draining.
pub fn encode_leaving(vm: &VmName) -> PeerMessage {
    encode_request(wire::peer_request::Body::Leaving(wire::Leaving { vm: vm.to_string() }))
}

/// Encodes a request for a configuration that is newer than `known_version`.
pub fn encode_ask_config(from: &VmName, known_version: u64) -> PeerMessage {
    encode_request(wire::peer_request::Body::AskConfig(wire::AskConfig {
        from: from.to_string(),
        known: known_version,
    }))
}

/// Encodes a request for the known members; `local_record` is the member record of the sender.
pub fn encode_ask_members(local_record: &MemberRecord) -> PeerMessage {
    let from = local_record.member.vm.to_string();
    let own = Some(member_record_to_wire(local_record));
    encode_request(wire::peer_request::Body::AskMembers(wire::AskMembers { from, own }))
}

/// Encodes a call; its deadline becomes the time that is left at `now`. The body is not copied.
pub fn encode_call(from: &VmName, now: Time, call: &PeerCall) -> PeerMessage {
    let PeerCall { context, payload, .. } = call;
    let key = context.idempotency.key().map(|key| key.bits().to_be_bytes().to_vec());
    let request = wire::CallRequest {
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
        terms: call.terms.as_ref().map(terms_to_wire),
        at_most_once: context.idempotency == Idempotency::AtMostOnce,
        method: payload.method.to_string(),
        target: payload.target.to_string(),
        fields: payload.fields.iter().map(field_to_wire).collect(),
        body: Bytes::new(),
    };
    let len = request.encoded_len() + field_len(BODY_FIELD, payload.body.len());
    let mut message = PeerMessage::default();
    put_field_start(&mut message.head, CALL_FIELD, len);
    put_message(&mut message.head, &request);
    message.append_body(BODY_FIELD, payload.body.clone())
}

/// Converts the generated type of a call that was received at `now`.
///
/// The outcome of the call goes to `reply_to`.
pub fn decode_call(
    call: wire::CallRequest,
    reply_to: ReplyHandle,
    now: Time,
) -> Result<Arrival, WireError> {
    let byte = |value: u32, field| u8::try_from(value).map_err(|_| WireError::InvalidValue(field));
    let origin = Origin::Peer {
        budget: RetryBudget::new(byte(call.budget, "budget")?),
        depth: byte(call.depth, "depth")?,
        admitted_share: admitted_share_from_wire(call.passed),
        caller: match call.caller.as_str() {
            "" => None,
            name => Some(ServiceName::new(name)?),
        },
        terms: call.terms.as_ref().and_then(terms_from_wire),
    };
    Ok(Arrival {
        reply_to,
        origin,
        service: ServiceName::new(&call.service)?,
        request_id: RequestId(convert::decode_u128(&call.request, "request")?),
        rank: Some(RankName::new(&call.rank)?),
        deadline: Some(now + Duration::from_micros(call.left_us)),
        idempotency: idempotency_from_wire(&call.key, call.at_most_once)?,
        payload: Payload {
            method: Arc::from(call.method),
            target: Arc::from(call.target),
            fields: call.fields.into_iter().map(field_from_wire).collect(),
            body: call.body,
        },
    })
}

/// Converts the smallest share of the request's rank that the gates along the call chain admitted.
///
/// 0 is the value of an absent field and stands for all requests of the rank.
fn admitted_share_from_wire(raw: u32) -> Share {
    if raw == 0 { Share::FULL } else { Share::from_raw(raw) }
}

fn idempotency_from_wire(key: &Bytes, is_at_most_once: bool) -> Result<Idempotency, WireError> {
    if key.is_empty() {
        return Ok(if is_at_most_once { Idempotency::AtMostOnce } else { Idempotency::Idempotent });
    }
    let bits = convert::decode_u128(key, "key")?;
    let key = IdempotencyKey::from_bits(bits).map_err(|_| WireError::InvalidValue("key"))?;
    Ok(Idempotency::Keyed(key))
}

pub(crate) fn field_to_wire(field: &Field) -> wire::Field {
    wire::Field { name: field.name.to_string(), value: field.value.clone() }
}

pub(crate) fn field_from_wire(field: wire::Field) -> Field {
    Field { name: Arc::from(field.name), value: field.value }
}

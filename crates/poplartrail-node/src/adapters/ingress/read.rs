//! An HTTP request becomes an arrival.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, request::Parts};
use poplartrail_core::{
    call::{Idempotency, Payload, RequestId},
    engine::{Arrival, CallKey, Origin, ReplyHandle},
    keys::{IdempotencyKey, KeyError},
    names::{NameError, RankName, ServiceName},
    time::Time,
};
use poplartrail_http::end_to_end_fields;
use quick_error::quick_error;

use crate::adapters::ingress::fields::{
    CONTEXT, DEADLINE, KEY, RANK, REQUEST, SERVICE, context_from,
};

/// Longest time left that a caller may state.
const MAX_DEADLINE: Duration = Duration::from_secs(3600);

quick_error! {
    /// A request that cannot be taken.
    #[derive(Debug, Clone, PartialEq)]
    pub enum BadRequest {
        /// A field has a value that cannot be read.
        Field(name: &'static str, remedy: &'static str) {
            display("the field {} cannot be read: {}", name, remedy)
        }
        /// A name has the wrong form.
        Name(field: &'static str, err: NameError) {
            display("the field {}: {}", field, err)
        }
        /// The key has the wrong form.
        Key(err: KeyError) {
            display("{}", err)
        }
        /// A non-idempotent request has no key.
        NoKey(method: String) {
            display("a {} request is not idempotent and has no key: send a UUIDv7 in idempotency-key", method)
        }
        /// An outbound call names no service.
        NoService {
            display("the call names no service: state it in poplartrail-service")
        }
        /// The method cannot be passed on.
        Method(method: String) {
            display("the method {} cannot be passed on: use another one", method)
        }
        /// The header is larger than the settings allow.
        HeaderTooLong(max: usize) {
            display("the header has more than {} bytes: send less, or raise limits.max_header_bytes", max)
        }
    }
}

/// What a request says besides its content.
#[derive(Debug)]
pub(crate) struct Head {
    rank: Option<RankName>,
    request: RequestId,
    left: Option<Duration>,
    effect: Idempotency,
    service: Option<ServiceName>,
    parent: Option<CallKey>,
}

impl Head {
    /// Whether a second run does harm.
    pub(crate) fn effect(&self) -> Idempotency {
        self.effect
    }
}

/// Where a request was received.
#[derive(Debug, Clone)]
pub(crate) enum Side {
    /// From callers, for the own upstream.
    Callers(ServiceName),
    /// From the own upstream, for another service.
    Upstream,
}

/// Reads what the header says.
pub(crate) fn read_head(parts: &Parts, max_bytes: usize) -> Result<Head, BadRequest> {
    let headers = &parts.headers;
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size + parts.uri.path().len() > max_bytes {
        return Err(BadRequest::HeaderTooLong(max_bytes));
    }
    if matches!(parts.method, Method::CONNECT | Method::TRACE) {
        return Err(BadRequest::Method(parts.method.to_string()));
    }
    let rank = text(headers, RANK)?.map(RankName::new).transpose();
    let service = text(headers, SERVICE)?.map(ServiceName::new).transpose();
    Ok(Head {
        rank: rank.map_err(|err| BadRequest::Name(RANK, err))?,
        request: request_id(headers)?,
        left: left(headers)?,
        effect: effect(&parts.method, headers)?,
        service: service.map_err(|err| BadRequest::Name(SERVICE, err))?,
        parent: text(headers, CONTEXT)?.and_then(context_from),
    })
}

/// Makes the arrival of a request that was received whole at `now`.
pub(crate) fn arrival(
    parts: &Parts,
    head: Head,
    body: Bytes,
    side: &Side,
    ticket: ReplyHandle,
    now: Time,
) -> Result<Arrival, BadRequest> {
    let (service, origin) = match side {
        Side::Callers(own) => {
            let states_identity = parts.headers.contains_key(REQUEST);
            (own.clone(), Origin::Caller { has_request_id: states_identity })
        }
        Side::Upstream => {
            let service = head.service.ok_or(BadRequest::NoService)?;
            (service, Origin::Upstream { parent: head.parent })
        }
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(Arrival {
        reply_to: ticket,
        origin,
        service,
        request_id: head.request,
        rank: head.rank,
        deadline: head.left.map(|left| now + left),
        idempotency: head.effect,
        payload: Payload {
            method: Arc::from(parts.method.as_str()),
            target: Arc::from(target),
            fields: end_to_end_fields(&parts.headers),
            body,
        },
    })
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| BadRequest::Field(name, "use visible ASCII characters"))
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, BadRequest> {
    match text(headers, REQUEST)? {
        Some(text) => uuid::Uuid::parse_str(text)
            .map(|uuid| RequestId(uuid.as_u128()))
            .map_err(|_| BadRequest::Field(REQUEST, "send a UUID")),
        None => Ok(RequestId(uuid::Uuid::now_v7().as_u128())),
    }
}

fn left(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(text) = text(headers, DEADLINE)? else { return Ok(None) };
    let remedy = "send a whole number of milliseconds, at most 3600000";
    let millis: u64 = text.parse().map_err(|_| BadRequest::Field(DEADLINE, remedy))?;
    let left = Duration::from_millis(millis);
    if left > MAX_DEADLINE {
        return Err(BadRequest::Field(DEADLINE, remedy));
    }
    Ok(Some(left))
}

fn effect(method: &Method, headers: &HeaderMap) -> Result<Idempotency, BadRequest> {
    // RFC 9110, section 9.2.2. A key on an idempotent request asks for nothing more.
    let is_idempotent = matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    );
    if is_idempotent {
        return Ok(Idempotency::Idempotent);
    }
    let key = text(headers, KEY)?.ok_or_else(|| BadRequest::NoKey(method.to_string()))?;
    // The field's draft standard quotes the value; both forms are taken.
    let key = IdempotencyKey::parse(key.trim_matches('"')).map_err(BadRequest::Key)?;
    Ok(Idempotency::Keyed(key))
}

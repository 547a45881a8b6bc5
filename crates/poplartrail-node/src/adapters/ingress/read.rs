//! Conversion of HTTP requests to arrivals.

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
    CONTEXT_FIELD, DEADLINE_FIELD, IDEMPOTENCY_KEY_FIELD, RANK_FIELD, REQUEST_ID_FIELD,
    SERVICE_FIELD, decode_context,
};

/// Upper limit of the time left that a caller may state.
const MAX_TIME_LEFT: Duration = Duration::from_secs(3600);

quick_error! {
    /// Reason why a request cannot be handled.
    #[derive(Debug, Clone, PartialEq)]
    pub enum BadRequest {
        /// A header field has a malformed value.
        Field(name: &'static str, remedy: &'static str) {
            display("the field {} cannot be read: {}", name, remedy)
        }
        /// A header field holds an invalid rank or service name.
        Name(field: &'static str, err: NameError) {
            display("the field {}: {}", field, err)
        }
        /// The idempotency key is malformed.
        Key(err: KeyError) {
            display("{}", err)
        }
        /// A non-idempotent request has no idempotency key.
        NoKey(method: String) {
            display("a {} request is not idempotent and has no key: send a UUIDv7 in idempotency-key", method)
        }
        /// An outbound call of the upstream names no service.
        NoService {
            display("the call names no service: state it in poplartrail-service")
        }
        /// The method cannot be forwarded.
        Method(method: String) {
            display("the method {} cannot be passed on: use another one", method)
        }
        /// The header is larger than `limits.max_header_bytes` allows.
        HeaderTooLong(max: usize) {
            display("the header has more than {} bytes: send less, or raise limits.max_header_bytes", max)
        }
    }
}

/// Metadata that the header of a request states.
#[derive(Debug)]
pub(crate) struct RequestMetadata {
    rank: Option<RankName>,
    request_id: RequestId,
    time_left: Option<Duration>,
    idempotency: Idempotency,
    service: Option<ServiceName>,
    parent: Option<CallKey>,
}

impl RequestMetadata {
    /// Returns whether the request is idempotent or carries an idempotency key.
    pub(crate) fn idempotency(&self) -> Idempotency {
        self.idempotency
    }
}

/// Sender of a request, known from the server that received it.
#[derive(Debug, Clone)]
pub(crate) enum RequestSource {
    /// A caller. The request is for the local service.
    Callers(ServiceName),
    /// The local upstream. The request is for another service.
    Upstream,
}

/// Parses the header fields that the node reads.
pub(crate) fn parse_metadata(
    parts: &Parts,
    max_header_bytes: usize,
) -> Result<RequestMetadata, BadRequest> {
    let headers = &parts.headers;
    let size: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if size + parts.uri.path().len() > max_header_bytes {
        return Err(BadRequest::HeaderTooLong(max_header_bytes));
    }
    if matches!(parts.method, Method::CONNECT | Method::TRACE) {
        return Err(BadRequest::Method(parts.method.to_string()));
    }
    let rank = field_text(headers, RANK_FIELD)?.map(RankName::new).transpose();
    let service = field_text(headers, SERVICE_FIELD)?.map(ServiceName::new).transpose();
    Ok(RequestMetadata {
        rank: rank.map_err(|err| BadRequest::Name(RANK_FIELD, err))?,
        request_id: request_id(headers)?,
        time_left: time_left(headers)?,
        idempotency: idempotency(&parts.method, headers)?,
        service: service.map_err(|err| BadRequest::Name(SERVICE_FIELD, err))?,
        parent: field_text(headers, CONTEXT_FIELD)?.and_then(decode_context),
    })
}

/// Builds the arrival of a request that was received in full at `now`.
pub(crate) fn arrival(
    parts: &Parts,
    metadata: RequestMetadata,
    body: Bytes,
    source: &RequestSource,
    reply_to: ReplyHandle,
    now: Time,
) -> Result<Arrival, BadRequest> {
    let (service, origin) = match source {
        RequestSource::Callers(local_service) => {
            let has_request_id = parts.headers.contains_key(REQUEST_ID_FIELD);
            (local_service.clone(), Origin::Caller { has_request_id })
        }
        RequestSource::Upstream => {
            let service = metadata.service.ok_or(BadRequest::NoService)?;
            (service, Origin::Upstream { parent: metadata.parent })
        }
    };
    let target = parts.uri.path_and_query().map_or("/", |target| target.as_str());
    Ok(Arrival {
        reply_to,
        origin,
        service,
        request_id: metadata.request_id,
        rank: metadata.rank,
        deadline: metadata.time_left.map(|time_left| now + time_left),
        idempotency: metadata.idempotency,
        payload: Payload {
            method: Arc::from(parts.method.as_str()),
            target: Arc::from(target),
            fields: end_to_end_fields(&parts.headers),
            body,
        },
    })
}

fn field_text<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, BadRequest> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| BadRequest::Field(name, "use visible ASCII characters"))
}

fn request_id(headers: &HeaderMap) -> Result<RequestId, BadRequest> {
    match field_text(headers, REQUEST_ID_FIELD)? {
        Some(text) => uuid::Uuid::parse_str(text)
            .map(|uuid| RequestId(uuid.as_u128()))
            .map_err(|_| BadRequest::Field(REQUEST_ID_FIELD, "send a UUID")),
        None => Ok(RequestId(uuid::Uuid::now_v7().as_u128())),
    }
}

fn time_left(headers: &HeaderMap) -> Result<Option<Duration>, BadRequest> {
    let Some(text) = field_text(headers, DEADLINE_FIELD)? else { return Ok(None) };
    let remedy = "send a whole number of milliseconds, at most 3600000";
    let millis: u64 = text.parse().map_err(|_| BadRequest::Field(DEADLINE_FIELD, remedy))?;
    let time_left = Duration::from_millis(millis);
    if time_left > MAX_TIME_LEFT {
        return Err(BadRequest::Field(DEADLINE_FIELD, remedy));
    }
    Ok(Some(time_left))
}

fn idempotency(method: &Method, headers: &HeaderMap) -> Result<Idempotency, BadRequest> {
    // RFC 9110, section 9.2.2. A key on an idempotent request is ignored.
    let is_idempotent = matches!(
        *method,
        Method::GET | Method::HEAD | Method::OPTIONS | Method::PUT | Method::DELETE
    );
    if is_idempotent {
        return Ok(Idempotency::Idempotent);
    }
    let key = field_text(headers, IDEMPOTENCY_KEY_FIELD)?
        .ok_or_else(|| BadRequest::NoKey(method.to_string()))?;
    // The draft standard of this field quotes the value; both forms are accepted.
    let key = IdempotencyKey::parse(key.trim_matches('"')).map_err(BadRequest::Key)?;
    Ok(Idempotency::Keyed(key))
}

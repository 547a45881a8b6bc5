//! Conversion of outcomes to HTTP responses.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use poplartrail_core::call::{Answer, NotRun, Outcome, Refusal, Unknown};
use poplartrail_http::BodyError;
use volo_http::body::Body;

use poplartrail_http::add_fields;

use crate::adapters::ingress::read::BadRequest;

/// Header field that states the outcome: `answered`, `not-run` or `unknown`.
const OUTCOME_FIELD: &str = "poplartrail-outcome";

/// Returns the response to a request with this outcome.
pub(crate) fn response(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Answered(answer) => answered_response(answer),
        Outcome::NotRun(not_run) => not_run_response(&not_run),
        Outcome::Unknown(unknown) => unknown_response(&unknown),
    }
}

fn answered_response(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_fields(response.headers_mut(), &answer.fields);
    response.headers_mut().insert(OUTCOME_FIELD, HeaderValue::from_static("answered"));
    response
}

fn not_run_response(not_run: &NotRun) -> Response<Body> {
    let status = match not_run.reason() {
        Refusal::UnknownRank | Refusal::TooDeep => StatusCode::BAD_REQUEST,
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        Refusal::KeyTooNew | Refusal::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::RepeatsSpent => StatusCode::TOO_MANY_REQUESTS,
        Refusal::TooLate => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = text_response(status, "not-run", &not_run.reason().to_string());
    if let Some(retry_after) = not_run.retry_after() {
        let seconds = retry_after.as_secs() + u64::from(retry_after.subsec_nanos() > 0);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn unknown_response(unknown: &Unknown) -> Response<Body> {
    text_response(StatusCode::GATEWAY_TIMEOUT, "unknown", &unknown.reason.to_string())
}

/// Returns the response to a malformed request, which was not run.
pub(crate) fn bad_request(err: &BadRequest) -> Response<Body> {
    let status = match err {
        BadRequest::HeaderTooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        BadRequest::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
        _ => StatusCode::BAD_REQUEST,
    };
    text_response(status, "not-run", &err.to_string())
}

/// Returns the response to a request whose body could not be read, and which was not run.
pub(crate) fn bad_body(err: &BodyError) -> Response<Body> {
    let status = match err {
        BodyError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
    };
    text_response(status, "not-run", &err.to_string())
}

/// Returns the response to a request beyond the capacity of the node. `may_have_run` tells whether
/// this request, or an earlier one with the same key, may have run.
pub(crate) fn node_full(may_have_run: bool) -> Response<Body> {
    let outcome = if may_have_run { "unknown" } else { "not-run" };
    let mut response =
        text_response(StatusCode::SERVICE_UNAVAILABLE, outcome, &Refusal::NodeFull.to_string());
    let retry_after = HeaderValue::from(Duration::from_secs(1).as_secs());
    response.headers_mut().insert(header::RETRY_AFTER, retry_after);
    response
}

/// Returns the response to a request for an idempotency key. `key` is `None` if the node holds no
/// key slot.
pub(crate) fn key(key: Option<String>) -> Response<Body> {
    match key {
        Some(key) => Response::new(Body::from(Bytes::from(key))),
        None => text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-run",
            "the node holds no slot for keys yet: ask another node, or mint a UUIDv7 yourself",
        ),
    }
}

fn text_response(status: StatusCode, outcome: &'static str, text: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{text}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME_FIELD, HeaderValue::from_static(outcome));
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, content_type);
    response
}

//! An outcome becomes an HTTP response.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use poplartrail_core::call::{Answer, NotRun, Outcome, Refusal, Unknown};
use poplartrail_http::BodyError;
use volo_http::body::Body;

use poplartrail_http::add_fields;

use crate::adapters::ingress::read::BadRequest;

/// Field that states which of the three outcomes it is.
const OUTCOME: &str = "poplartrail-outcome";

/// The response to a request with this outcome.
pub(crate) fn response(outcome: Outcome) -> Response<Body> {
    match outcome {
        Outcome::Answered(answer) => answered(answer),
        Outcome::NotRun(not_run) => refused(&not_run),
        Outcome::Unknown(unknown) => in_doubt(&unknown),
    }
}

fn answered(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    add_fields(response.headers_mut(), &answer.fields);
    response.headers_mut().insert(OUTCOME, HeaderValue::from_static("answered"));
    response
}

fn refused(not_run: &NotRun) -> Response<Body> {
    let status = match not_run.reason() {
        Refusal::UnknownRank | Refusal::TooDeep => StatusCode::BAD_REQUEST,
        Refusal::UnknownService => StatusCode::NOT_FOUND,
        Refusal::KeyTooNew | Refusal::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Refusal::RepeatsSpent => StatusCode::TOO_MANY_REQUESTS,
        Refusal::TooLate => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = explained(status, "not-run", &not_run.reason().to_string());
    if let Some(wait) = not_run.retry_after() {
        let seconds = wait.as_secs() + u64::from(wait.subsec_nanos() > 0);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn in_doubt(unknown: &Unknown) -> Response<Body> {
    explained(StatusCode::GATEWAY_TIMEOUT, "unknown", &unknown.reason.to_string())
}

/// The response to a request that could not be read. Nothing ran because of it.
pub(crate) fn bad_request(err: &BadRequest) -> Response<Body> {
    let status = match err {
        BadRequest::HeaderTooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        BadRequest::Method(_) => StatusCode::METHOD_NOT_ALLOWED,
        _ => StatusCode::BAD_REQUEST,
    };
    explained(status, "not-run", &err.to_string())
}

/// The response to a request whose body could not be read. Nothing ran because of it.
pub(crate) fn bad_body(err: &BodyError) -> Response<Body> {
    let status = match err {
        BodyError::TooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Incomplete(_) => StatusCode::BAD_REQUEST,
    };
    explained(status, "not-run", &err.to_string())
}

/// The response to a request for which the thread has no room.
pub(crate) fn no_room(may_have_run: bool) -> Response<Body> {
    let outcome = if may_have_run { "unknown" } else { "not-run" };
    let mut response =
        explained(StatusCode::SERVICE_UNAVAILABLE, outcome, &Refusal::NodeFull.to_string());
    let wait = HeaderValue::from(Duration::from_secs(1).as_secs());
    response.headers_mut().insert(header::RETRY_AFTER, wait);
    response
}

/// The response to a request for a key.
pub(crate) fn key(key: Option<String>) -> Response<Body> {
    match key {
        Some(key) => Response::new(Body::from(Bytes::from(key))),
        None => explained(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-run",
            "the node holds no slot for keys yet: ask another node, or mint a UUIDv7 yourself",
        ),
    }
}

fn explained(status: StatusCode, outcome: &'static str, why: &str) -> Response<Body> {
    let mut response = Response::new(Body::from(format!("{why}\n")));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(OUTCOME, HeaderValue::from_static(outcome));
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    response
}

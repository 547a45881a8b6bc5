//! Heads of requests and responses.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::h1::{Framing, MessageError};

/// Most fields of one head.
const MAX_FIELDS: usize = 96;

/// The head of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// Path and query as they were sent.
    pub target: String,
    /// The fields.
    pub headers: HeaderMap,
    /// Whether the connection may carry another request.
    pub is_persistent: bool,
}

/// The head of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// The status.
    pub status: StatusCode,
    /// The fields.
    pub headers: HeaderMap,
    /// Whether the connection may carry another request.
    pub is_persistent: bool,
}

/// Takes the head of a request off the front of `buf`, or returns `None` if it is not whole yet.
///
/// # Errors
///
/// The bytes are no head, or the head has more than `max_bytes`.
pub fn parse_request_head(
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Request::new(&mut fields);
    let len = match head.parse(buf).map_err(describe)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial => return check_len(buf.len(), max_bytes).map(|()| None),
    };
    check_len(len, max_bytes)?;
    let method = head.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| MessageError::InvalidHead("method"))?;
    let target = head.path.unwrap_or_default().to_owned();
    let headers = header_map(head.headers)?;
    let is_persistent = is_persistent(head.version, &headers);
    buf.advance(len);
    Ok(Some(RequestHead { method, target, headers, is_persistent }))
}

/// Takes the head of a response off the front of `buf`, or returns `None` if it is not whole yet.
///
/// # Errors
///
/// The bytes are no head, or the head has more than `max_bytes`.
pub fn parse_response_head(
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<ResponseHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut head = httparse::Response::new(&mut fields);
    let len = match head.parse(buf).map_err(describe)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial => return check_len(buf.len(), max_bytes).map(|()| None),
    };
    check_len(len, max_bytes)?;
    let status = StatusCode::from_u16(head.code.unwrap_or_default());
    let status = status.map_err(|_| MessageError::InvalidHead("status"))?;
    let headers = header_map(head.headers)?;
    let is_persistent = is_persistent(head.version, &headers);
    buf.advance(len);
    Ok(Some(ResponseHead { status, headers, is_persistent }))
}

impl RequestHead {
    /// How the body is delimited.
    ///
    /// # Errors
    ///
    /// The length is ambiguous, so that another reader might see another request in it.
    pub fn framing(&self) -> Result<Framing, MessageError> {
        match stated_framing(&self.headers)? {
            Some(framing) => Ok(framing),
            None => Ok(Framing::Length(0)),
        }
    }
}

impl ResponseHead {
    /// How the body is delimited, in an answer to a request with `method`.
    ///
    /// # Errors
    ///
    /// The length is ambiguous.
    pub fn framing(&self, method: &Method) -> Result<Framing, MessageError> {
        let has_none = matches!(self.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            || self.status.is_informational()
            || method == Method::HEAD;
        if has_none {
            return Ok(Framing::Length(0));
        }
        Ok(stated_framing(&self.headers)?.unwrap_or(Framing::UntilClose))
    }
}

fn describe(err: httparse::Error) -> MessageError {
    MessageError::InvalidHead(match err {
        httparse::Error::HeaderName => "field name",
        httparse::Error::HeaderValue => "field value",
        httparse::Error::NewLine => "line end",
        httparse::Error::Status => "status",
        httparse::Error::Token => "token",
        httparse::Error::TooManyHeaders => "too many fields",
        httparse::Error::Version => "version",
    })
}

fn check_len(len: usize, max: usize) -> Result<(), MessageError> {
    if len > max { Err(MessageError::HeadTooLong(max)) } else { Ok(()) }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, MessageError> {
    let mut headers = HeaderMap::with_capacity(fields.len());
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => headers.append(name, value),
            _ => return Err(MessageError::InvalidHead("field")),
        };
    }
    Ok(headers)
}

fn is_persistent(minor_version: Option<u8>, headers: &HeaderMap) -> bool {
    let says = |word: &str| {
        headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(word))
    };
    if minor_version == Some(0) { says("keep-alive") } else { !says("close") }
}

fn stated_framing(headers: &HeaderMap) -> Result<Option<Framing>, MessageError> {
    let length = stated_length(headers)?;
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(length.map(Framing::Length)) };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    // Both lengths in one message are how requests are smuggled (RFC 9112, section 6.3).
    if !is_chunked || codings.next().is_some() || length.is_some() {
        return Err(MessageError::AmbiguousLength);
    }
    Ok(Some(Framing::Chunked))
}

fn stated_length(headers: &HeaderMap) -> Result<Option<u64>, MessageError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Ok(None) };
    let text = length.to_str().map_err(|_| MessageError::AmbiguousLength)?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_number || lengths.next().is_some() {
        return Err(MessageError::AmbiguousLength);
    }
    text.parse().map(Some).map_err(|_| MessageError::AmbiguousLength)
}

//! Parsing of request and response heads.

use bytes::{Buf, BytesMut};
use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode, header};

use crate::h1::{Framing, MessageError};

/// Header fields of a usual message, which are parsed without an allocation.
const USUAL_FIELDS: usize = 96;
/// Bytes of the shortest field: a name of one letter, a colon and the line end.
const MIN_FIELD_BYTES: usize = 4;
const TOO_MANY_FIELDS: MessageError = MessageError::InvalidHead("too many fields");

/// Request line and header fields of a request.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// Method of the request line.
    pub method: Method,
    /// Request target as it was sent, usually path and query.
    pub target: String,
    /// Header fields as they were sent.
    pub headers: HeaderMap,
    /// Whether the connection may carry another request.
    pub is_persistent: bool,
}

/// Status line and header fields of a response.
#[derive(Debug, Clone)]
pub struct ResponseHead {
    /// Status code of the status line.
    pub status: StatusCode,
    /// Header fields as they were sent.
    pub headers: HeaderMap,
    /// Whether the connection may carry another request.
    pub is_persistent: bool,
}

/// Removes a request head from the front of `buf`, or returns `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head or if the head is longer than `max_bytes`.
pub fn parse_request_head(
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<RequestHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; USUAL_FIELDS];
    let head = match read_request_head(buf, max_bytes, &mut fields) {
        Err(TOO_MANY_FIELDS) => {
            let mut fields = vec![httparse::EMPTY_HEADER; max_fields(buf, max_bytes)];
            read_request_head(buf, max_bytes, &mut fields).map_err(|err| too_long(err, max_bytes))
        }
        head => head,
    };
    let Some((len, head)) = head? else { return Ok(None) };
    buf.advance(len);
    Ok(Some(head))
}

/// Reads a request head at the front of `buf`, and returns it with its length.
fn read_request_head<'b>(
    buf: &'b [u8],
    max_bytes: usize,
    fields: &mut [httparse::Header<'b>],
) -> Result<Option<(usize, RequestHead)>, MessageError> {
    let mut head = httparse::Request::new(fields);
    let len = match head.parse(buf).map_err(head_error)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial => return check_head_len(buf.len(), max_bytes).map(|()| None),
    };
    check_head_len(len, max_bytes)?;
    let method = head.method.unwrap_or_default().as_bytes();
    let method = Method::from_bytes(method).map_err(|_| MessageError::InvalidHead("method"))?;
    let target = head.path.unwrap_or_default().to_owned();
    let headers = header_map(head.headers)?;
    let is_persistent = is_persistent(head.version, &headers);
    Ok(Some((len, RequestHead { method, target, headers, is_persistent })))
}

/// Removes a response head from the front of `buf`, or returns `None` if it is incomplete.
///
/// # Errors
///
/// Fails if the bytes are not a valid head or if the head is longer than `max_bytes`.
pub fn parse_response_head(
    buf: &mut BytesMut,
    max_bytes: usize,
) -> Result<Option<ResponseHead>, MessageError> {
    let mut fields = [httparse::EMPTY_HEADER; USUAL_FIELDS];
    let head = match read_response_head(buf, max_bytes, &mut fields) {
        Err(TOO_MANY_FIELDS) => {
            let mut fields = vec![httparse::EMPTY_HEADER; max_fields(buf, max_bytes)];
            read_response_head(buf, max_bytes, &mut fields).map_err(|err| too_long(err, max_bytes))
        }
        head => head,
    };
    let Some((len, head)) = head? else { return Ok(None) };
    buf.advance(len);
    Ok(Some(head))
}

/// Reads a response head at the front of `buf`, and returns it with its length.
fn read_response_head<'b>(
    buf: &'b [u8],
    max_bytes: usize,
    fields: &mut [httparse::Header<'b>],
) -> Result<Option<(usize, ResponseHead)>, MessageError> {
    let mut head = httparse::Response::new(fields);
    let len = match head.parse(buf).map_err(head_error)? {
        httparse::Status::Complete(len) => len,
        httparse::Status::Partial => return check_head_len(buf.len(), max_bytes).map(|()| None),
    };
    check_head_len(len, max_bytes)?;
    // `StatusCode` takes numbers up to 999, of which RFC 9110 (section 15) allows those below 600.
    let status = StatusCode::from_u16(head.code.unwrap_or_default()).ok();
    let status = status.filter(|status| status.as_u16() < 600);
    let status = status.ok_or(MessageError::InvalidHead("status"))?;
    let headers = header_map(head.headers)?;
    let is_persistent = is_persistent(head.version, &headers);
    Ok(Some((len, ResponseHead { status, headers, is_persistent })))
}

impl RequestHead {
    /// Returns how the body of the request is delimited.
    ///
    /// # Errors
    ///
    /// Fails with [`MessageError::AmbiguousLength`] if another recipient could read another
    /// request from the same bytes (request smuggling).
    pub fn framing(&self) -> Result<Framing, MessageError> {
        match declared_framing(&self.headers)? {
            Some(framing) => Ok(framing),
            None => Ok(Framing::Length(0)),
        }
    }
}

impl ResponseHead {
    /// Returns how the body of the response to a request with `method` is delimited.
    ///
    /// # Errors
    ///
    /// Fails with [`MessageError::AmbiguousLength`].
    pub fn framing(&self, method: &Method) -> Result<Framing, MessageError> {
        let has_no_body = matches!(self.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
            || self.status.is_informational()
            || method == Method::HEAD;
        if has_no_body {
            return Ok(Framing::Length(0));
        }
        Ok(declared_framing(&self.headers)?.unwrap_or(Framing::UntilClose))
    }
}

fn head_error(err: httparse::Error) -> MessageError {
    MessageError::InvalidHead(match err {
        httparse::Error::HeaderName => "field name",
        httparse::Error::HeaderValue => "field value",
        httparse::Error::NewLine => "line end",
        httparse::Error::Status => "status",
        httparse::Error::Token => "token",
        httparse::Error::TooManyHeaders => return TOO_MANY_FIELDS,
        httparse::Error::Version => "version",
    })
}

/// Converts the error for more fields than a head of `max_bytes` can have.
fn too_long(err: MessageError, max_bytes: usize) -> MessageError {
    if err == TOO_MANY_FIELDS { MessageError::HeadTooLong(max_bytes) } else { err }
}

/// Returns how many fields a head of at most `max_bytes` at the front of `buf` may have.
fn max_fields(buf: &[u8], max_bytes: usize) -> usize {
    buf.len().min(max_bytes) / MIN_FIELD_BYTES + 1
}

fn check_head_len(len: usize, max: usize) -> Result<(), MessageError> {
    if len > max { Err(MessageError::HeadTooLong(max)) } else { Ok(()) }
}

fn header_map(fields: &[httparse::Header<'_>]) -> Result<HeaderMap, MessageError> {
    let headers = HeaderMap::try_with_capacity(fields.len());
    let mut headers = headers.map_err(|_| TOO_MANY_FIELDS)?;
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(field.value);
        match (name, value) {
            (Ok(name), Ok(value)) => {
                headers.try_append(name, value).map_err(|_| TOO_MANY_FIELDS)?;
            }
            _ => return Err(MessageError::InvalidHead("field")),
        }
    }
    Ok(headers)
}

fn is_persistent(minor_version: Option<u8>, headers: &HeaderMap) -> bool {
    let has_option = |option: &str| {
        headers
            .get_all(header::CONNECTION)
            .iter()
            .filter_map(|value| value.to_str().ok())
            .flat_map(|value| value.split(','))
            .any(|token| token.trim().eq_ignore_ascii_case(option))
    };
    if minor_version == Some(0) { has_option("keep-alive") } else { !has_option("close") }
}

fn declared_framing(headers: &HeaderMap) -> Result<Option<Framing>, MessageError> {
    let length = content_length(headers)?;
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let Some(coding) = codings.next() else { return Ok(length.map(Framing::Length)) };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    // A message with both Content-Length and Transfer-Encoding may be an attempt at request
    // smuggling (RFC 9112, section 6.3).
    if !is_chunked || codings.next().is_some() || length.is_some() {
        return Err(MessageError::AmbiguousLength);
    }
    Ok(Some(Framing::Chunked))
}

fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MessageError> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let Some(length) = lengths.next() else { return Ok(None) };
    let text = length.to_str().map_err(|_| MessageError::AmbiguousLength)?;
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    if !is_number || lengths.next().is_some() {
        return Err(MessageError::AmbiguousLength);
    }
    text.parse().map(Some).map_err(|_| MessageError::AmbiguousLength)
}

//! Encoding of requests and responses.

use bytes::{BufMut, Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};

/// Initial buffer capacity for a message head with the usual fields.
const HEAD_CAPACITY_BYTES: usize = 512;
/// Longest body that is copied behind its head, so that both are sent at once.
const MAX_COPIED_BODY_BYTES: usize = 16 << 10;

/// A message as it is sent. A long body is not copied, and is held until it has been sent.
#[derive(Debug, Clone)]
pub struct EncodedMessage {
    /// Head, with a short body behind it.
    head: BytesMut,
    body: Bytes,
}

impl EncodedMessage {
    fn new(mut head: BytesMut, body: Bytes) -> Self {
        if body.len() > MAX_COPIED_BODY_BYTES {
            return Self { head, body };
        }
        head.put_slice(&body);
        Self { head, body: Bytes::new() }
    }

    /// Returns the bytes from `position` on, up to the end of the head or of the message. They are
    /// empty at the end only.
    pub fn chunk_at(&self, position: usize) -> &[u8] {
        match position.checked_sub(self.head.len()) {
            Some(position) => &self.body[position.min(self.body.len())..],
            None => &self.head[position..],
        }
    }

    /// Returns whether `position` is the end of the message.
    pub fn is_end(&self, position: usize) -> bool {
        self.chunk_at(position).is_empty()
    }
}

/// Encodes a request. Adds `Content-Length`, except to a `GET` or `HEAD` request without a body.
///
/// `headers` holds no hop-by-hop field and no `Content-Length`.
pub fn encode_request(
    method: &Method,
    target: &str,
    headers: &HeaderMap,
    body: Bytes,
) -> EncodedMessage {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    for part in [method.as_str(), " ", target, " HTTP/1.1\r\n"] {
        out.put_slice(part.as_bytes());
    }
    put_fields(&mut out, headers);
    let has_length = !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD);
    if has_length {
        put_length(&mut out, body.len());
    }
    out.put_slice(b"\r\n");
    EncodedMessage::new(out, body)
}

/// Encodes a response. Adds `Content-Length`, except with status 204 or 304.
///
/// `headers` holds no hop-by-hop field and no `Content-Length`. `is_head` marks the response to a
/// `HEAD` request, which omits `body` and still states its length. `is_last` announces that the
/// connection closes after this response.
pub fn encode_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: Bytes,
    is_head: bool,
    is_last: bool,
) -> EncodedMessage {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY_BYTES);
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(status.canonical_reason().unwrap_or("Unknown").as_bytes());
    out.put_slice(b"\r\n");
    put_fields(&mut out, headers);
    if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
        put_length(&mut out, body.len());
    }
    if is_last {
        out.put_slice(b"connection: close\r\n");
    }
    out.put_slice(b"\r\n");
    EncodedMessage::new(out, if is_head { Bytes::new() } else { body })
}

fn put_fields(out: &mut BytesMut, headers: &HeaderMap) {
    for (name, value) in headers {
        out.put_slice(name.as_str().as_bytes());
        out.put_slice(b": ");
        out.put_slice(value.as_bytes());
        out.put_slice(b"\r\n");
    }
}

fn put_length(out: &mut BytesMut, len: usize) {
    out.put_slice(b"content-length: ");
    out.put_slice(len.to_string().as_bytes());
    out.put_slice(b"\r\n");
}

//! Messages as bytes.

use bytes::{BufMut, BytesMut};
use http::{HeaderMap, Method, StatusCode};

/// Room for a head with the usual fields, in bytes.
const HEAD_BYTES: usize = 512;

/// Writes a request with a body of known length. `headers` holds no field of the connection.
pub fn encode_request(method: &Method, target: &str, headers: &HeaderMap, body: &[u8]) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_BYTES + body.len());
    for part in [method.as_str(), " ", target, " HTTP/1.1\r\n"] {
        out.put_slice(part.as_bytes());
    }
    put_fields(&mut out, headers);
    let has_length = !body.is_empty() || !matches!(*method, Method::GET | Method::HEAD);
    if has_length {
        put_length(&mut out, body.len());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out
}

/// Writes a response with a body of known length. `headers` holds no field of the connection.
///
/// `is_head` leaves the body out and states its length all the same.
pub fn encode_response(
    status: StatusCode,
    headers: &HeaderMap,
    body: &[u8],
    is_head: bool,
    is_last: bool,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(HEAD_BYTES + body.len());
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
    if !is_head {
        out.put_slice(body);
    }
    out
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

//! Requests off a stream of bytes.

use bytes::BytesMut;
use poplartrail_core::site::CallerLimits;
use poplartrail_http::h1::{BodyDecoder, MessageError, RequestHead, parse_request_head};

use crate::adapters::server::HttpRequest;

/// The request that is being received.
#[derive(Debug, Default)]
pub(crate) struct RequestParser {
    begun: Option<(RequestHead, BodyDecoder)>,
}

impl RequestParser {
    /// Whether the head of a request has been received and its body not yet.
    pub(crate) fn is_in_body(&self) -> bool {
        self.begun.is_some()
    }

    /// Whether the sender waits for permission to send the body.
    pub(crate) fn expects_continue(&self) -> bool {
        let Some((head, _)) = &self.begun else { return false };
        let expected = head.headers.get(http::header::EXPECT).map(|value| value.as_bytes());
        expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
    }

    /// Takes the next whole request off the front of `buf`.
    ///
    /// # Errors
    ///
    /// The bytes are no request, or exceed the limits; nothing after them can be read.
    pub(crate) fn next(
        &mut self,
        buf: &mut BytesMut,
        limits: &CallerLimits,
    ) -> Result<Option<HttpRequest>, MessageError> {
        if self.begun.is_none() {
            if buf.is_empty() {
                return Ok(None);
            }
            let Some(head) = parse_request_head(buf, limits.max_header_bytes)? else {
                return Ok(None);
            };
            let decoder = BodyDecoder::new(head.framing()?, limits.max_body_bytes);
            self.begun = Some((head, decoder));
        }
        let Some((_, decoder)) = &mut self.begun else { return Ok(None) };
        if !decoder.decode(buf)? {
            return Ok(None);
        }
        let req = self
            .begun
            .take()
            .map(|(head, decoder)| HttpRequest { head, body: decoder.into_body().freeze() });
        Ok(req)
    }
}

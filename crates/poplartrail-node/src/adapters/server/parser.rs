//! Parser of requests in a stream of bytes.

use bytes::BytesMut;
use poplartrail_core::site::CallerLimits;
use poplartrail_http::h1::{BodyDecoder, MessageError, RequestHead, parse_request_head};

use crate::adapters::server::HttpRequest;

/// Parses the requests of one connection one after the other.
#[derive(Debug, Default)]
pub(crate) struct RequestParser {
    /// Head and body decoder of a request whose body has not been received in full.
    partial: Option<(RequestHead, BodyDecoder)>,
}

impl RequestParser {
    /// Returns whether a request's head has been received, but not its whole body.
    pub(crate) fn is_in_body(&self) -> bool {
        self.partial.is_some()
    }

    /// Returns the number of bytes received of a body that is not complete.
    pub(crate) fn body_len(&self) -> usize {
        self.partial.as_ref().map_or(0, |(_, decoder)| decoder.len())
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub(crate) fn expects_continue(&self) -> bool {
        let Some((head, _)) = &self.partial else { return false };
        let expected = head.headers.get(http::header::EXPECT).map(|value| value.as_bytes());
        expected.is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
    }

    /// Removes the next request from the front of `buf`. Returns `None` until it has been received
    /// in full.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid request or exceed the limits. The bytes
    /// after them cannot be parsed.
    pub(crate) fn next(
        &mut self,
        buf: &mut BytesMut,
        limits: &CallerLimits,
    ) -> Result<Option<HttpRequest>, MessageError> {
        if self.partial.is_none() {
            if buf.is_empty() {
                return Ok(None);
            }
            let Some(head) = parse_request_head(buf, limits.max_header_bytes)? else {
                return Ok(None);
            };
            let decoder = BodyDecoder::new(head.framing()?, limits.max_body_bytes);
            self.partial = Some((head, decoder));
        }
        let Some((_, decoder)) = &mut self.partial else { return Ok(None) };
        if !decoder.decode(buf)? {
            return Ok(None);
        }
        let req = self
            .partial
            .take()
            .map(|(head, decoder)| HttpRequest { head, body: decoder.into_body().freeze() });
        Ok(req)
    }
}

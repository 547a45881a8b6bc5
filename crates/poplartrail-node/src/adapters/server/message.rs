//! Requests and responses, as a handler sees them.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use poplartrail_http::h1::RequestHead;

/// A request that was received in full.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
}

/// A response to be written.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    /// Header fields, without those that concern the connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpResponse {
    /// Creates a response with a text as its body.
    pub(crate) fn text(status: StatusCode, content_type: &'static str, body: String) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: Bytes::from(body) }
    }

    /// Creates a response without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }
}

impl From<(StatusCode, HeaderMap, Bytes)> for HttpResponse {
    fn from((status, headers, body): (StatusCode, HeaderMap, Bytes)) -> Self {
        Self { status, headers, body }
    }
}

/// Handles requests. The future of a request is dropped if its client disconnects.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request.
    fn call(&self, req: HttpRequest) -> impl Future<Output = HttpResponse> + Send;
}

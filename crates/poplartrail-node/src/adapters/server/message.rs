//! What a server hands to its handler, and gets back.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use poplartrail_http::h1::RequestHead;

/// A request that was received whole.
#[derive(Debug)]
pub(crate) struct HttpRequest {
    /// The head.
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
}

/// A response to be written.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    /// The status.
    pub(crate) status: StatusCode,
    /// The fields, without those of the connection.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl HttpResponse {
    /// A response with a text for operators.
    pub(crate) fn text(status: StatusCode, content_type: &'static str, body: String) -> Self {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
        Self { status, headers, body: Bytes::from(body) }
    }

    /// A response without a body.
    pub(crate) fn empty(status: StatusCode) -> Self {
        Self { status, headers: HeaderMap::new(), body: Bytes::new() }
    }
}

impl From<(StatusCode, HeaderMap, Bytes)> for HttpResponse {
    fn from((status, headers, body): (StatusCode, HeaderMap, Bytes)) -> Self {
        Self { status, headers, body }
    }
}

/// Answers requests. Dropping the future tells that the caller has left.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Answers one request.
    fn call(&self, req: HttpRequest) -> impl Future<Output = HttpResponse> + Send;
}

//! Content of a request. Decisions pass it on and never read it.

use std::sync::Arc;

use bytes::Bytes;

/// One header field of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Field name in lower case.
    pub name: Arc<str>,
    /// Field value, unchanged.
    pub value: Bytes,
}

/// Method, target, fields and body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Payload {
    /// HTTP method, for instance `GET`.
    pub method: Arc<str>,
    /// Request target: path and query.
    pub target: Arc<str>,
    /// End-to-end header fields; hop-by-hop fields are removed.
    pub fields: Vec<Field>,
    /// Complete body; empty if there is none.
    pub body: Bytes,
}

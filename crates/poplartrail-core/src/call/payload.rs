//! The content of a request, which decisions carry and never read.

use std::sync::Arc;

use bytes::Bytes;

/// One header field as the front end received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Field name in lower case.
    pub name: Arc<str>,
    /// Field value, byte for byte.
    pub value: Bytes,
}

/// Method, target, fields and body of a request.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Payload {
    /// Method, for instance `GET`.
    pub method: Arc<str>,
    /// Path and query.
    pub target: Arc<str>,
    /// End-to-end header fields.
    pub fields: Vec<Field>,
    /// The whole body.
    pub body: Bytes,
}

//! Answer of an upstream.

use bytes::Bytes;

use crate::call::Field;

/// Complete answer of an upstream, returned to the caller unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields; hop-by-hop fields are removed.
    pub fields: Vec<Field>,
    /// Complete body; empty if there is none.
    pub body: Bytes,
}

impl Answer {
    /// Returns whether the status reports an overloaded upstream (429 or 503).
    pub fn is_overload(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    /// Returns whether the status is one of success (2xx).
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Returns the memory that the answer occupies, in bytes, without allocator overhead.
    pub fn size(&self) -> usize {
        let fields: usize = self.fields.iter().map(|f| f.name.len() + f.value.len()).sum();
        size_of::<Self>() + self.fields.len() * size_of::<Field>() + fields + self.body.len()
    }
}

//! The upstream's answer.

use bytes::Bytes;

use crate::call::Field;

/// A whole answer of an upstream, carried back unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields.
    pub fields: Vec<Field>,
    /// The whole body.
    pub body: Bytes,
}

impl Answer {
    /// Whether the upstream says that it is overloaded (429 or 503).
    pub fn is_overload(&self) -> bool {
        matches!(self.status, 429 | 503)
    }

    /// Whether the status tells of success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }

    /// Memory that the answer occupies, in bytes, without allocator overhead.
    pub fn size(&self) -> usize {
        let fields: usize = self.fields.iter().map(|f| f.name.len() + f.value.len()).sum();
        size_of::<Self>() + self.fields.len() * size_of::<Field>() + fields + self.body.len()
    }
}

//! Messages between two nodes with a body that is not copied.

use bytes::Bytes;
use prost::{
    Message,
    encoding::{WireType, encode_key, encode_varint, encoded_len_varint, key_len},
};

/// Most bytes of the start of a message that are needed to find its length: a tag, and the longest
/// number.
pub const MAX_START_BYTES: usize = 11;
/// Longest body that is copied behind the rest of its message, so that both are sent at once.
const MAX_COPIED_BODY_BYTES: usize = 4096;

/// Encoded message: first `head`, then `body`, which is empty if it was copied.
#[derive(Debug, Clone, Default)]
pub struct PeerMessage {
    /// Encoded message up to its body.
    pub head: Vec<u8>,
    /// Last bytes of the message.
    pub body: Bytes,
}

impl PeerMessage {
    /// Returns the length of the message in bytes.
    pub fn len(&self) -> usize {
        self.head.len() + self.body.len()
    }

    /// Returns whether the message has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Appends `body` as the field `tag`, which has to be the last one.
    pub(crate) fn append_body(mut self, tag: u32, body: Bytes) -> Self {
        if body.is_empty() {
            return self;
        }
        put_field_start(&mut self.head, tag, body.len());
        if body.len() <= MAX_COPIED_BODY_BYTES {
            self.head.extend_from_slice(&body);
            return self;
        }
        Self { body, ..self }
    }
}

impl From<Vec<u8>> for PeerMessage {
    fn from(head: Vec<u8>) -> Self {
        Self { head, body: Bytes::new() }
    }
}

/// Returns the length of the field `tag` with `len` bytes of content; an empty one is left out.
pub(crate) fn field_len(tag: u32, len: usize) -> usize {
    if len == 0 { 0 } else { key_len(tag) + encoded_len_varint(len as u64) + len }
}

/// Appends the start of the field `tag`, whose content of `len` bytes follows.
pub(crate) fn put_field_start(out: &mut Vec<u8>, tag: u32, len: usize) {
    encode_key(tag, WireType::LengthDelimited, out);
    encode_varint(len as u64, out);
}

/// Appends `message` without its length.
pub(crate) fn put_message(out: &mut Vec<u8>, message: &impl Message) {
    out.extend_from_slice(&message.encode_to_vec());
}

/// Returns the length of a request or reply between two nodes that begins with `start`, in bytes.
/// Returns `None` if its length is not among them.
///
/// Each consists of a single field: one byte of tag, the length, and the message in it.
pub fn stated_len(start: &[u8]) -> Option<usize> {
    let (_tag, mut rest) = start.split_first()?;
    let len = prost::decode_length_delimiter(&mut rest).ok()?;
    len.checked_add(start.len() - rest.len())
}

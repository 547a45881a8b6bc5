//! Incremental decoding of message bodies.

use bytes::{Buf, BytesMut};

use crate::h1::MessageError;

/// Longest incomplete line that is buffered: a trailer field, or a chunk size with its extensions,
/// which are ignored.
const MAX_LINE_BYTES: usize = 4096;
/// Most bytes of all trailer fields together. They are discarded, so only a faulty or hostile peer
/// sends more.
const MAX_TRAILER_BYTES: usize = 16 << 10;

/// How the end of a message body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// The body has this many bytes.
    Length(u64),
    /// The body is sent with chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

#[derive(Debug, Clone, Copy)]
enum State {
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    UntilClose,
    Done,
}

/// Decoder that collects one message body of limited length.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    body: BytesMut,
    max_bytes: usize,
    trailer_bytes: usize,
}

impl BodyDecoder {
    /// Creates a decoder of a body of at most `max_bytes` that is delimited by `framing`.
    pub fn new(framing: Framing, max_bytes: usize) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Length(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, body: BytesMut::new(), max_bytes, trailer_bytes: 0 }
    }

    /// Removes the bytes of the body from the front of `buf` and returns whether the body is
    /// complete. Bytes after the body stay in `buf`.
    ///
    /// # Errors
    ///
    /// Fails with [`MessageError::InvalidChunk`], [`MessageError::BodyTooLong`] or
    /// [`MessageError::TrailerTooLong`].
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Length(remaining) => {
                    self.check_body_len(remaining)?;
                    let remaining = self.collect(buf, remaining)?;
                    self.state =
                        if remaining == 0 { State::Done } else { State::Length(remaining) };
                    if remaining > 0 {
                        return Ok(false);
                    }
                }
                State::UntilClose => {
                    self.collect(buf, u64::MAX)?;
                    return Ok(false);
                }
                State::ChunkData(remaining) => {
                    self.check_body_len(remaining)?;
                    let remaining = self.collect(buf, remaining)?;
                    if remaining > 0 {
                        self.state = State::ChunkData(remaining);
                        return Ok(false);
                    }
                    self.state = State::ChunkEnd;
                }
                State::ChunkSize | State::ChunkEnd | State::Trailer => {
                    let Some(line) = split_line(buf)? else { return Ok(false) };
                    self.decode_chunk_line(&line)?;
                }
            }
        }
    }

    /// Records that the peer closed the connection without an error, and returns whether the body
    /// is complete.
    pub fn decode_eof(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Done;
        }
        matches!(self.state, State::Done)
    }

    /// Returns the number of bytes of the body that were decoded so far.
    pub fn len(&self) -> usize {
        self.body.len()
    }

    /// Returns whether no byte of the body was decoded so far.
    pub fn is_empty(&self) -> bool {
        self.body.is_empty()
    }

    /// Returns the bytes of the body that were decoded so far.
    pub fn into_body(self) -> BytesMut {
        self.body
    }

    fn decode_chunk_line(&mut self, line: &[u8]) -> Result<(), MessageError> {
        self.state = match self.state {
            State::ChunkSize => match parse_chunk_size(line)? {
                0 => State::Trailer,
                size => State::ChunkData(size),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::ChunkEnd => return Err(MessageError::InvalidChunk),
            State::Trailer if line.is_empty() => State::Done,
            State::Trailer => {
                self.trailer_bytes += line.len();
                if self.trailer_bytes > MAX_TRAILER_BYTES {
                    return Err(MessageError::TrailerTooLong(MAX_TRAILER_BYTES));
                }
                State::Trailer
            }
            state => state,
        };
        Ok(())
    }

    /// Moves up to `remaining` bytes from `buf` into the body and returns how many are missing.
    fn collect(&mut self, buf: &mut BytesMut, remaining: u64) -> Result<u64, MessageError> {
        let len = usize::try_from(remaining).unwrap_or(usize::MAX).min(buf.len());
        self.check_body_len(len as u64)?;
        if self.body.is_empty() {
            self.body = buf.split_to(len);
        } else {
            self.body.extend_from_slice(&buf.split_to(len));
        }
        Ok(remaining - len as u64)
    }

    fn check_body_len(&self, more: u64) -> Result<(), MessageError> {
        let len = (self.body.len() as u64).saturating_add(more);
        if len > self.max_bytes as u64 {
            return Err(MessageError::BodyTooLong(self.max_bytes));
        }
        Ok(())
    }
}

/// Removes the first line from `buf` and returns it without its CRLF, or `None` if it is
/// incomplete.
fn split_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, MessageError> {
    let Some(at) = buf.iter().position(|&b| b == b'\n') else {
        return if buf.len() > MAX_LINE_BYTES { Err(MessageError::InvalidChunk) } else { Ok(None) };
    };
    let mut line = buf.split_to(at);
    buf.advance(1);
    if line.last() != Some(&b'\r') {
        return Err(MessageError::InvalidChunk);
    }
    line.truncate(line.len() - 1);
    Ok(Some(line))
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let size = line.split(|&b| b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).map_err(|_| MessageError::InvalidChunk)?.trim();
    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(MessageError::InvalidChunk);
    }
    u64::from_str_radix(size, 16).map_err(|_| MessageError::InvalidChunk)
}

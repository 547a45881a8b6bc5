//! Bodies, piece by piece.

use bytes::{Buf, BytesMut};

use crate::h1::MessageError;

/// Longest line of a chunk's size or a trailer field, in bytes; extensions are not used.
const MAX_LINE_BYTES: usize = 4096;

/// How a body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(u64),
    /// By chunks.
    Chunked,
    /// By the end of the connection.
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

/// Collects one body of at most a given length.
#[derive(Debug)]
pub struct BodyDecoder {
    state: State,
    body: BytesMut,
    max_bytes: usize,
}

impl BodyDecoder {
    /// A decoder of a body that is delimited by `framing`.
    pub fn new(framing: Framing, max_bytes: usize) -> Self {
        let state = match framing {
            Framing::Length(0) => State::Done,
            Framing::Length(len) => State::Length(len),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self { state, body: BytesMut::new(), max_bytes }
    }

    /// Takes what belongs to the body off the front of `buf`. Returns whether the body is whole.
    ///
    /// # Errors
    ///
    /// The chunks cannot be read, or the body is too long.
    pub fn decode(&mut self, buf: &mut BytesMut) -> Result<bool, MessageError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                State::Length(left) => {
                    self.check_room(left)?;
                    let left = self.take(buf, left)?;
                    self.state = if left == 0 { State::Done } else { State::Length(left) };
                    if left > 0 {
                        return Ok(false);
                    }
                }
                State::UntilClose => {
                    self.take(buf, u64::MAX)?;
                    return Ok(false);
                }
                State::ChunkData(left) => {
                    self.check_room(left)?;
                    let left = self.take(buf, left)?;
                    if left > 0 {
                        self.state = State::ChunkData(left);
                        return Ok(false);
                    }
                    self.state = State::ChunkEnd;
                }
                State::ChunkSize | State::ChunkEnd | State::Trailer => {
                    let Some(line) = take_line(buf)? else { return Ok(false) };
                    self.take_line_of_chunk(&line)?;
                }
            }
        }
    }

    /// Takes in that the connection has ended in good order. Returns whether the body is whole.
    pub fn decode_eof(&mut self) -> bool {
        if matches!(self.state, State::UntilClose) {
            self.state = State::Done;
        }
        matches!(self.state, State::Done)
    }

    /// The body so far.
    pub fn into_body(self) -> BytesMut {
        self.body
    }

    fn take_line_of_chunk(&mut self, line: &[u8]) -> Result<(), MessageError> {
        self.state = match self.state {
            State::ChunkSize => match chunk_size(line)? {
                0 => State::Trailer,
                size => State::ChunkData(size),
            },
            State::ChunkEnd if line.is_empty() => State::ChunkSize,
            State::ChunkEnd => return Err(MessageError::InvalidChunk),
            State::Trailer if line.is_empty() => State::Done,
            state => state,
        };
        Ok(())
    }

    /// Moves up to `left` bytes into the body and returns how many are still to come.
    fn take(&mut self, buf: &mut BytesMut, left: u64) -> Result<u64, MessageError> {
        let len = usize::try_from(left).unwrap_or(usize::MAX).min(buf.len());
        self.check_room(len as u64)?;
        if self.body.is_empty() {
            self.body = buf.split_to(len);
        } else {
            self.body.extend_from_slice(&buf.split_to(len));
        }
        Ok(left - len as u64)
    }

    fn check_room(&self, more: u64) -> Result<(), MessageError> {
        let len = (self.body.len() as u64).saturating_add(more);
        if len > self.max_bytes as u64 {
            return Err(MessageError::BodyTooLong(self.max_bytes));
        }
        Ok(())
    }
}

/// Takes a line off the front of `buf`, without its end.
fn take_line(buf: &mut BytesMut) -> Result<Option<BytesMut>, MessageError> {
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

fn chunk_size(line: &[u8]) -> Result<u64, MessageError> {
    let size = line.split(|&b| b == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).map_err(|_| MessageError::InvalidChunk)?.trim();
    let is_hex = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex {
        return Err(MessageError::InvalidChunk);
    }
    u64::from_str_radix(size, 16).map_err(|_| MessageError::InvalidChunk)
}

//! Reading and writing of messages on a stream between two nodes.

use bytes::{Bytes, BytesMut};
use poplartrail_http::{ByteBudget, ByteReservation};
use poplartrail_wire::{MAX_START_BYTES, PeerMessage, stated_len};
use quinn::{RecvStream, SendStream, WriteError};

/// Most bytes that are read from a stream at a time.
const MAX_CHUNK_BYTES: usize = 64 << 10;

/// Reason why a message could not be read.
#[derive(Debug)]
pub(crate) enum ReadMessageError {
    /// The message exceeds the size limit or the length that it states, or states none.
    TooLong,
    /// The sender has given up the message, or the connection is lost.
    BrokenOff,
}

/// Writes a message, whose body is not copied.
pub(crate) async fn write_message(
    tx: &mut SendStream,
    message: &PeerMessage,
) -> Result<(), WriteError> {
    tx.write_all(&message.head).await?;
    if message.body.is_empty() { Ok(()) } else { tx.write_chunk(message.body.clone()).await }
}

/// Reads the only message of a stream, which counts as held until its last part is dropped.
///
/// Its first bytes state its length. The rest is read once `budget` has room for all of it, and
/// meanwhile waits at the sender.
pub(crate) async fn read_message(
    rx: &mut RecvStream,
    max_bytes: usize,
    budget: &ByteBudget,
) -> Result<Bytes, ReadMessageError> {
    let mut buf = BytesMut::new();
    let mut reservation: Option<ByteReservation> = None;
    let mut max_bytes = max_bytes;
    loop {
        let chunk = rx.read_chunk(MAX_CHUNK_BYTES, true).await;
        let Some(chunk) = chunk.map_err(|_| ReadMessageError::BrokenOff)? else { break };
        buf.extend_from_slice(&chunk.bytes);
        if reservation.is_none() {
            match stated_len(&buf) {
                Some(len) if len <= max_bytes => {
                    reservation = Some(budget.reserve(len).await);
                    buf.reserve(len.saturating_sub(buf.len()));
                    max_bytes = len;
                }
                None if buf.len() < MAX_START_BYTES => {}
                _ => return Err(ReadMessageError::TooLong),
            }
        }
        if buf.len() > max_bytes {
            return Err(ReadMessageError::TooLong);
        }
    }
    let reservation = reservation.unwrap_or_else(|| budget.reservation());
    Ok(reservation.hold(buf.freeze()))
}

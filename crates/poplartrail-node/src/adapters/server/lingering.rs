//! A connection that the node has ended, while its client may still receive responses.

use std::time::Duration;

use bytes::BytesMut;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::tcp::{OwnedReadHalf, OwnedWriteHalf},
    time::timeout,
};

use crate::adapters::unsent::UnsentReply;

/// Time limit for the client to receive its last response and to close. As long as the one for
/// writing a response, which ends when the kernel has taken the bytes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(20);
/// Size of the buffer for bytes that are discarded.
const BUFFER_BYTES: usize = 4 << 10;

/// Connection on which the node sends and serves nothing more.
///
/// A socket that is closed while bytes of the client are unread, or before further ones arrive, is
/// reset, and the kernel drops the responses that the client has not received. So the node ends only
/// its own direction, and discards what arrives until the client closes (RFC 9112, section 9.6).
#[derive(Debug)]
pub(crate) struct LingeringConnection {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    buf: BytesMut,
    /// Makes a planned stop wait for the client, as for any response that has not been written.
    unsent: UnsentReply,
}

impl LingeringConnection {
    pub(crate) fn new(rx: OwnedReadHalf, tx: OwnedWriteHalf, unsent: UnsentReply) -> Self {
        Self { rx, tx, buf: BytesMut::with_capacity(BUFFER_BYTES), unsent }
    }

    /// Closes the connection once the client has, or is overdue. Returns whether the client has.
    pub(crate) async fn close(mut self) -> bool {
        let is_closed = timeout(LINGER_TIMEOUT, self.await_client()).await.is_ok();
        drop(self.unsent);
        is_closed
    }

    async fn await_client(&mut self) {
        if self.tx.shutdown().await.is_err() {
            return;
        }
        loop {
            self.buf.clear();
            match self.rx.read_buf(&mut self.buf).await {
                Ok(1..) => {}
                Ok(0) | Err(_) => return,
            }
        }
    }
}

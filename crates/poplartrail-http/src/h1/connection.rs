//! Client connection that carries one request at a time.

use std::{io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::{
    ByteBudget,
    h1::{BodyDecoder, EncodedMessage, ExchangeError, Framing, ResponseHead, parse_response_head},
};

/// Buffer space that is reserved for each read; most responses fit into it.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Most responses to other requests, which a faulty upstream may send first, that one exchange
/// discards. After one more, the exchange fails.
const MAX_MISMATCHED_RESPONSES: usize = 2;
/// Most informational responses that are skipped before a response. A server sends one or two of
/// them; a faulty one may send them without end.
const MAX_INFORMATIONAL_RESPONSES: usize = 8;
/// Fraction of the server's keep-alive timeout for which an idle connection is reused. The rest
/// covers the transit of the request and a clock of the server that runs fast.
const REUSE_FRACTION: f64 = 0.6;
/// Keep-alive timeout that is assumed for a server that states none.
const DEFAULT_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest keep-alive timeout that is relied upon.
const MAX_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(3600);

/// Timeouts and limits of a [`ClientConnection`].
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Longest wait for the connection to open.
    pub connect_timeout: Duration,
    /// Idle time before the first TCP keep-alive probe, and time between two probes. A connection
    /// whose peer acknowledges nothing ends after two intervals. At least 1 s: fractions of a
    /// second are dropped.
    pub keepalive_interval: Duration,
    /// Largest head of a response.
    pub max_head_bytes: usize,
    /// Largest body of a response.
    pub max_body_bytes: usize,
    /// Bytes that the bodies of responses may hold together until they are dropped, on all
    /// connections that share this budget.
    pub body_budget: ByteBudget,
}

/// Response with its whole body.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// Status code of the response.
    pub status: StatusCode,
    /// Header fields as they were sent.
    pub headers: HeaderMap,
    /// Body after removal of the transfer coding.
    pub body: Bytes,
}

/// TCP connection to an HTTP/1.1 server.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buf: BytesMut,
    options: ClientOptions,
    reusable_until: Option<Instant>,
}

impl ClientConnection {
    /// Opens a connection to `addr`.
    ///
    /// # Errors
    ///
    /// Fails with [`ExchangeError::NotConnected`], also after the connect timeout of `options`.
    pub async fn connect(addr: SocketAddr, options: ClientOptions) -> Result<Self, ExchangeError> {
        let not_connected =
            |err: &dyn std::fmt::Display| ExchangeError::NotConnected(err.to_string());
        let connecting = timeout(options.connect_timeout, TcpStream::connect(addr)).await;
        let stream =
            connecting.map_err(|err| not_connected(&err))?.map_err(|err| not_connected(&err))?;
        set_socket_options(&stream, &options).map_err(|err| not_connected(&err))?;
        Ok(Self { stream, buf: BytesMut::new(), options, reusable_until: None })
    }

    /// Sends a request that [`encode_request`](crate::h1::encode_request) returned and reads the
    /// response for which `is_match` returns true. Discards a limited number of responses to
    /// other requests, which a faulty upstream may send first.
    ///
    /// # Errors
    ///
    /// Fails with any variant but [`ExchangeError::NotConnected`]. The request may have run.
    pub async fn exchange(
        &mut self,
        method: &Method,
        req: &EncodedMessage,
        is_match: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ClientResponse, ExchangeError> {
        self.reusable_until = None;
        let mut written = 0;
        for _ in 0..=MAX_MISMATCHED_RESPONSES {
            let (head, body) = self.read_response(method, req, &mut written).await?;
            if is_match(&head) {
                let is_complete = req.is_end(written) && self.buf.is_empty();
                if head.is_persistent && is_complete {
                    self.reusable_until = Some(Instant::now() + reuse_window(&head.headers));
                }
                let ResponseHead { status, headers, .. } = head;
                return Ok(ClientResponse { status, headers, body });
            }
            if !head.is_persistent {
                break;
            }
        }
        Err(ExchangeError::ResponseMismatch)
    }

    /// Returns whether another request may be sent: the last response was complete, the reuse time
    /// has not passed, the connection is open, and no unrequested bytes have arrived.
    pub fn is_reusable(&self) -> bool {
        let is_kept_alive = self.reusable_until.is_some_and(|until| Instant::now() < until);
        is_kept_alive && self.buf.is_empty() && self.is_idle()
    }

    /// Returns whether neither bytes nor the end of the connection have arrived.
    fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(err) => err.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Reads one response while it writes the rest of the request. Skips informational responses.
    async fn read_response(
        &mut self,
        method: &Method,
        req: &EncodedMessage,
        written: &mut usize,
    ) -> Result<(ResponseHead, Bytes), ExchangeError> {
        for _ in 0..=MAX_INFORMATIONAL_RESPONSES {
            let head = loop {
                if let Some(head) = parse_response_head(&mut self.buf, self.options.max_head_bytes)?
                {
                    break head;
                }
                if self.write_and_read(req, written).await? == 0 {
                    return Err(ExchangeError::ConnectionLost(
                        "closed before the response".to_owned(),
                    ));
                }
            };
            if head.status.is_informational() {
                continue;
            }
            let framing = head.framing(method)?;
            let body = self.read_body(framing, req, written).await?;
            return Ok((head, body));
        }
        Err(ExchangeError::TooManyInformational(MAX_INFORMATIONAL_RESPONSES))
    }

    async fn read_body(
        &mut self,
        framing: Framing,
        req: &EncodedMessage,
        written: &mut usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut decoder = BodyDecoder::new(framing, self.options.max_body_bytes);
        let budget = &self.options.body_budget;
        // A body of known length is not read before there is room for all of it. Several that wait
        // for the rest of their room would wait for each other.
        let mut reservation = match framing {
            Framing::Length(len) if len <= self.options.max_body_bytes as u64 => {
                budget.reserve(len as usize).await
            }
            _ => budget.reservation(),
        };
        let is_reserved = matches!(framing, Framing::Length(_));
        while !decoder.decode(&mut self.buf).map_err(ExchangeError::from)? {
            if !is_reserved && !reservation.grow_to(decoder.len()) {
                return Err(ExchangeError::OverBudget);
            }
            if self.write_and_read(req, written).await? == 0 {
                if decoder.decode_eof() {
                    break;
                }
                return Err(ExchangeError::ConnectionLost("closed within the response".to_owned()));
            }
        }
        Ok(reservation.hold(decoder.into_body().freeze()))
    }

    /// Writes the rest of the request until bytes of a response arrive, and waits for them once
    /// all is written. Returns the number of bytes read, 0 at the end of the connection.
    async fn write_and_read(
        &mut self,
        req: &EncodedMessage,
        written: &mut usize,
    ) -> Result<usize, ExchangeError> {
        let connection_lost = |err: io::Error| ExchangeError::ConnectionLost(err.to_string());
        let (mut rx, mut tx) = self.stream.split();
        loop {
            self.buf.reserve(READ_BUFFER_BYTES);
            let chunk = req.chunk_at(*written);
            if chunk.is_empty() {
                return rx.read_buf(&mut self.buf).await.map_err(connection_lost);
            }
            tokio::select! {
                read = rx.read_buf(&mut self.buf) => return read.map_err(connection_lost),
                sent = tx.write(chunk) => *written += sent.map_err(connection_lost)?,
            }
        }
    }
}

fn set_socket_options(stream: &TcpStream, options: &ClientOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(options.keepalive_interval)
        .with_interval(options.keepalive_interval)
        .with_retries(2);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    // Without this timeout, the kernel retransmits unacknowledged bytes for minutes.
    socket.set_tcp_user_timeout(Some(options.keepalive_interval * 2))
}

/// Returns how long an idle connection may be reused after a response with `headers`, whatever number
/// the server states.
fn reuse_window(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.parse().ok())
        .map_or(DEFAULT_KEEP_ALIVE_TIMEOUT, Duration::from_secs);
    stated.min(MAX_KEEP_ALIVE_TIMEOUT).mul_f64(REUSE_FRACTION)
}

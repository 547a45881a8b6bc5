//! One connection to a server, for one request at a time.

use std::{io, mem::MaybeUninit, net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, StatusCode};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};

use crate::h1::{BodyDecoder, ExchangeError, Framing, ResponseHead, parse_response_head};

/// Room for one read, in bytes; most answers fit.
const READ_BYTES: usize = 16 << 10;
/// Answers to other requests that are passed over before the connection is given up.
const MAX_FOREIGN: usize = 2;
/// Part of the stated idle time for which a connection is reused. The rest covers the way of the
/// request and a clock that runs fast at the other end.
const REUSE_PART: f64 = 0.6;
/// Idle time for a server that states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);

/// Parameters of [`ClientConnection::connect`].
#[derive(Debug, Clone, Copy)]
pub struct ClientOptions {
    /// Time within which the connection must be open.
    pub connect_timeout: Duration,
    /// Time between two probes of a connection over which nothing comes; two without an answer
    /// end it. The kernel takes whole seconds.
    pub keepalive_interval: Duration,
    /// Largest head of an answer.
    pub max_head_bytes: usize,
    /// Largest body of an answer.
    pub max_body_bytes: usize,
}

/// A whole answer.
#[derive(Debug, Clone)]
pub struct ClientResponse {
    /// The status.
    pub status: StatusCode,
    /// The fields as they were sent.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// An open connection.
#[derive(Debug)]
pub struct ClientConnection {
    stream: TcpStream,
    buf: BytesMut,
    options: ClientOptions,
    idle_until: Option<Instant>,
}

impl ClientConnection {
    /// Opens a connection to `to`.
    ///
    /// # Errors
    ///
    /// [`ExchangeError::NotConnected`], also if it takes longer than the options allow.
    pub async fn connect(to: SocketAddr, options: ClientOptions) -> Result<Self, ExchangeError> {
        let failed = |err: &dyn std::fmt::Display| ExchangeError::NotConnected(err.to_string());
        let connecting = timeout(options.connect_timeout, TcpStream::connect(to)).await;
        let stream = connecting.map_err(|err| failed(&err))?.map_err(|err| failed(&err))?;
        set_options(&stream, &options).map_err(|err| failed(&err))?;
        Ok(Self { stream, buf: BytesMut::new(), options, idle_until: None })
    }

    /// Sends a request, written by [`encode_request`](crate::h1::encode_request), and reads the
    /// answer for which `is_own` holds; answers to other requests are passed over.
    ///
    /// # Errors
    ///
    /// Any failure after the connection was open: the request may have run.
    pub async fn exchange(
        &mut self,
        method: &Method,
        req: &[u8],
        is_own: impl Fn(&ResponseHead) -> bool,
    ) -> Result<ClientResponse, ExchangeError> {
        self.idle_until = None;
        let mut written = 0;
        for _ in 0..=MAX_FOREIGN {
            let (head, body) = self.answer(method, req, &mut written).await?;
            if is_own(&head) {
                let is_whole = written == req.len() && self.buf.is_empty();
                if head.is_persistent && is_whole {
                    self.idle_until = Some(Instant::now() + idle_time(&head.headers));
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

    /// Whether another request may be sent: the last answer was whole, the server still waits, and
    /// nothing has come that nobody asked for.
    pub fn is_reusable(&self) -> bool {
        let is_in_time = self.idle_until.is_some_and(|until| Instant::now() < until);
        is_in_time && self.buf.is_empty() && self.is_quiet()
    }

    /// Whether neither bytes nor the end of the connection have arrived.
    fn is_quiet(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(&self.stream).peek(&mut byte) {
            Err(err) => err.kind() == io::ErrorKind::WouldBlock,
            Ok(_) => false,
        }
    }

    /// Reads one answer, and writes what is left of the request meanwhile.
    async fn answer(
        &mut self,
        method: &Method,
        req: &[u8],
        written: &mut usize,
    ) -> Result<(ResponseHead, Bytes), ExchangeError> {
        loop {
            let head = loop {
                if let Some(head) = parse_response_head(&mut self.buf, self.options.max_head_bytes)?
                {
                    break head;
                }
                if self.progress(req, written).await? == 0 {
                    return Err(ExchangeError::ConnectionLost(
                        "closed before the answer".to_owned(),
                    ));
                }
            };
            if head.status.is_informational() {
                continue;
            }
            let framing = head.framing(method)?;
            let body = self.body(framing, req, written).await?;
            return Ok((head, body));
        }
    }

    async fn body(
        &mut self,
        framing: Framing,
        req: &[u8],
        written: &mut usize,
    ) -> Result<Bytes, ExchangeError> {
        let mut decoder = BodyDecoder::new(framing, self.options.max_body_bytes);
        while !decoder.decode(&mut self.buf).map_err(ExchangeError::from)? {
            if self.progress(req, written).await? == 0 {
                if decoder.decode_eof() {
                    break;
                }
                return Err(ExchangeError::ConnectionLost("closed within the answer".to_owned()));
            }
        }
        Ok(decoder.into_body().freeze())
    }

    /// Writes what can be written and reads what can be read; returns the bytes read, 0 at the
    /// end of the connection.
    async fn progress(&mut self, req: &[u8], written: &mut usize) -> Result<usize, ExchangeError> {
        let lost = |err: io::Error| ExchangeError::ConnectionLost(err.to_string());
        let (mut rx, mut tx) = self.stream.split();
        loop {
            self.buf.reserve(READ_BYTES);
            if *written == req.len() {
                return rx.read_buf(&mut self.buf).await.map_err(lost);
            }
            tokio::select! {
                read = rx.read_buf(&mut self.buf) => return read.map_err(lost),
                sent = tx.write(&req[*written..]) => *written += sent.map_err(lost)?,
            }
        }
    }
}

fn set_options(stream: &TcpStream, options: &ClientOptions) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(options.keepalive_interval)
        .with_interval(options.keepalive_interval)
        .with_retries(2);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    // Without it, bytes that nobody acknowledges are sent again for minutes.
    socket.set_tcp_user_timeout(Some(options.keepalive_interval * 2))
}

/// Time for which a connection may wait for its next request.
fn idle_time(headers: &HeaderMap) -> Duration {
    let stated = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split(',').find_map(|part| part.trim().strip_prefix("timeout=")))
        .and_then(|seconds| seconds.parse().ok())
        .map_or(DEFAULT_IDLE, Duration::from_secs);
    stated.mul_f64(REUSE_PART)
}

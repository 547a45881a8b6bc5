//! One connection of a caller.

use std::{io, time::Duration};

use bytes::BytesMut;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesOrdered};
use http::{Method, StatusCode};
use poplartrail_core::site::CallerLimits;
use poplartrail_http::h1::{MessageError, encode_response};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep_until, timeout},
};

use crate::adapters::server::{Handler, HttpResponse, parser::RequestParser};

/// Requests of one connection that may be in progress.
const MAX_PIPELINED: usize = 64;
/// Bytes that are read ahead of the request in hand; more wait in the socket.
const MAX_BUFFERED: usize = 64 << 10;
/// Room for one read, in bytes.
const READ_BYTES: usize = 16 << 10;
/// Longest time for which a caller may take nothing of its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// A response with what its request said of the connection.
struct Answered {
    response: HttpResponse,
    is_head: bool,
    is_last: bool,
}

/// A caller's connection and the requests that are in progress on it.
pub(crate) struct Connection<H> {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    handler: H,
    limits: watch::Receiver<CallerLimits>,
    closing: watch::Receiver<bool>,
    buf: BytesMut,
    parser: RequestParser,
    pending: FuturesOrdered<BoxFuture<'static, Answered>>,
    /// Whether more requests may follow.
    is_reading: bool,
    has_continued: bool,
    since: Instant,
}

/// What woke the connection.
enum Step {
    Read(io::Result<usize>),
    Answered(Answered),
    TimedOut,
}

impl<H: Handler> Connection<H> {
    pub(crate) fn new(
        stream: TcpStream,
        handler: H,
        limits: watch::Receiver<CallerLimits>,
        closing: watch::Receiver<bool>,
    ) -> Self {
        let (rx, tx) = stream.into_split();
        Self {
            rx,
            tx,
            handler,
            limits,
            closing,
            buf: BytesMut::new(),
            parser: RequestParser::default(),
            pending: FuturesOrdered::new(),
            is_reading: true,
            has_continued: false,
            since: Instant::now(),
        }
    }

    /// Serves until either end closes. Requests in progress are dropped if the caller leaves.
    pub(crate) async fn serve(mut self) {
        loop {
            let is_open = match self.step().await {
                // The caller has closed, or its connection was reset.
                Step::Read(Ok(0) | Err(_)) => false,
                Step::Read(Ok(_)) => self.take_requests().await,
                Step::Answered(answered) => {
                    self.since = Instant::now();
                    self.write(answered).await && self.take_requests().await
                }
                Step::TimedOut => self.give_up_waiting().await,
            };
            if !is_open {
                return;
            }
        }
    }

    async fn step(&mut self) -> Step {
        let deadline = self.deadline();
        let may_read = self.buf.len() < MAX_BUFFERED;
        self.buf.reserve(READ_BYTES);
        tokio::select! {
            Some(answered) = self.pending.next(), if !self.pending.is_empty() => {
                Step::Answered(answered)
            }
            read = self.rx.read_buf(&mut self.buf), if may_read => Step::Read(read),
            () = sleep_until(deadline), if self.pending.is_empty() => Step::TimedOut,
        }
    }

    /// When to give up on the next bytes of the caller.
    fn deadline(&self) -> Instant {
        let limits = self.limits.borrow();
        let is_begun = self.parser.is_in_body() || !self.buf.is_empty();
        self.since + if is_begun { limits.header_timeout } else { limits.idle_timeout }
    }

    /// Starts every request that is there whole. Returns whether the connection goes on.
    async fn take_requests(&mut self) -> bool {
        while self.is_reading && self.pending.len() < MAX_PIPELINED {
            let limits = *self.limits.borrow();
            let was_begun = self.parser.is_in_body();
            match self.parser.next(&mut self.buf, &limits) {
                Ok(Some(req)) => {
                    self.since = Instant::now();
                    self.has_continued = false;
                    self.start(req);
                }
                Ok(None) => {
                    if !was_begun && self.parser.is_in_body() {
                        self.since = Instant::now();
                    }
                    return self.permit_body().await;
                }
                Err(err) => {
                    spdlog::warn!("request refused: {err}");
                    self.refuse(status_of(err), err.to_string());
                }
            }
        }
        true
    }

    fn start(&mut self, req: crate::adapters::server::HttpRequest) {
        let is_head = req.head.method == Method::HEAD;
        let is_last = !req.head.is_persistent;
        self.is_reading = !is_last;
        let handler = self.handler.clone();
        self.pending.push_back(Box::pin(async move {
            Answered { response: handler.call(req).await, is_head, is_last }
        }));
    }

    /// Answers, after all requests before it, bytes that are no request.
    fn refuse(&mut self, status: StatusCode, why: String) {
        self.is_reading = false;
        let response = HttpResponse::text(status, "text/plain", why);
        let answered = Answered { response, is_head: false, is_last: true };
        self.pending.push_back(Box::pin(std::future::ready(answered)));
    }

    async fn permit_body(&mut self) -> bool {
        let is_due =
            self.parser.expects_continue() && !self.has_continued && self.pending.is_empty();
        if !is_due {
            return true;
        }
        self.has_continued = true;
        self.send(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    async fn write(&mut self, answered: Answered) -> bool {
        let Answered { response, is_head, is_last } = answered;
        // Callers send again whatever stands behind a response that closes the connection, so it
        // closes only when no other request has been received.
        let is_quiet = self.pending.is_empty() && self.buf.is_empty() && !self.parser.is_in_body();
        let is_last = is_last || (*self.closing.borrow() && is_quiet);
        let HttpResponse { status, headers, body } = response;
        let bytes = encode_response(status, &headers, &body, is_head, is_last);
        self.send(&bytes).await && !is_last
    }

    async fn send(&mut self, bytes: &[u8]) -> bool {
        matches!(timeout(WRITE_TIMEOUT, self.tx.write_all(bytes)).await, Ok(Ok(())))
    }

    /// The caller has sent nothing for too long.
    async fn give_up_waiting(&mut self) -> bool {
        if self.parser.is_in_body() || !self.buf.is_empty() {
            let why = "the request was not received in time: send it faster\n".to_owned();
            let response = HttpResponse::text(StatusCode::REQUEST_TIMEOUT, "text/plain", why);
            self.write(Answered { response, is_head: false, is_last: true }).await;
        }
        false
    }
}

fn status_of(err: MessageError) -> StatusCode {
    match err {
        MessageError::HeadTooLong(_) => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        MessageError::BodyTooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        MessageError::InvalidHead(_)
        | MessageError::AmbiguousLength
        | MessageError::InvalidChunk => StatusCode::BAD_REQUEST,
    }
}

//! One connection of a client.

use std::{io, mem::MaybeUninit, time::Duration};

use bytes::BytesMut;
use futures_util::{StreamExt, future::BoxFuture, stream::FuturesOrdered};
use http::{HeaderValue, Method, StatusCode, header};
use metrics::counter;
use poplartrail_core::site::CallerLimits;
use poplartrail_http::{
    ByteBudget, ByteReservation,
    h1::{EncodedMessage, MessageError, encode_response},
};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    time::{Instant, sleep_until, timeout},
};

use crate::adapters::{
    server::{
        Handler, HttpRequest, HttpResponse, ServerOptions, connection_table::ConnectionEntry,
        lingering::LingeringConnection, parser::RequestParser,
    },
    unsent::{UnsentOnConnection, UnsentReply},
};

/// Maximum number of requests in progress on one connection.
const MAX_PIPELINED: usize = 64;
/// Number of buffered bytes at which reading pauses; further ones wait in the socket.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 16 << 10;
/// Seconds after which a request may come again that found no memory for its body: most requests
/// end within that time and return theirs.
const OVER_BUDGET_RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");
/// Time limit for writing a response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

/// The response to a request, and how the request affects writing it.
struct CompletedRequest {
    response: HttpResponse,
    unsent: UnsentReply,
    is_head: bool,
    closes_connection: bool,
}

/// A connection and the requests in progress on it.
pub(crate) struct Connection<H> {
    rx: OwnedReadHalf,
    tx: OwnedWriteHalf,
    entry: ConnectionEntry,
    handler: H,
    limits: watch::Receiver<CallerLimits>,
    shutting_down: watch::Receiver<bool>,
    request_budget: ByteBudget,
    unsent: UnsentOnConnection,
    /// Bytes of the body that is being received.
    reservation: ByteReservation,
    buf: BytesMut,
    parser: RequestParser,
    in_progress: FuturesOrdered<BoxFuture<'static, CompletedRequest>>,
    /// Whether a further request may still start on this connection.
    accepts_requests: bool,
    /// Whether the client has sent a request while an earlier one was in progress.
    has_pipelined: bool,
    has_sent_continue: bool,
    /// Start of the current wait for the client. It counts towards the idle timeout, or towards the
    /// header timeout once part of a request has been received, and restarts with the first bytes of
    /// a request and when its head is complete.
    wait_start: Instant,
}

/// Event that a connection waits for.
enum ConnectionEvent {
    Read(io::Result<usize>),
    Completed(CompletedRequest),
    TimedOut,
    /// The process has been asked to stop, and the connection is idle.
    Stopping,
    /// The connection is idle and is evicted for a new one.
    Evicted,
}

/// What becomes of a connection after an event.
enum NextStep {
    Serve,
    /// The node ends the connection. The guard counts the last response as unsent until the client
    /// has received it.
    Linger(UnsentReply),
    /// The node closes the connection, on which no response is on its way.
    Close,
    /// The client has closed the connection, or it is lost.
    Lost,
    /// The client has not received what the node sends in time.
    Overdue,
}

impl<H: Handler> Connection<H> {
    pub(crate) fn new(
        stream: TcpStream,
        entry: ConnectionEntry,
        handler: H,
        options: ServerOptions,
    ) -> Self {
        let (rx, tx) = stream.into_split();
        let ServerOptions { limits, shutting_down, request_budget, unsent, .. } = options;
        let reservation = request_budget.reservation();
        Self {
            rx,
            tx,
            entry,
            handler,
            limits,
            shutting_down,
            request_budget,
            unsent: unsent.connection(),
            reservation,
            buf: BytesMut::new(),
            parser: RequestParser::default(),
            in_progress: FuturesOrdered::new(),
            accepts_requests: true,
            has_pipelined: false,
            has_sent_continue: false,
            wait_start: Instant::now(),
        }
    }

    /// Serves the connection until either end closes it. If the client does, the requests in
    /// progress are dropped.
    pub(crate) async fn serve(mut self) {
        loop {
            let begins_request = self.buf.is_empty() && !self.parser.is_in_body();
            let next_step = match self.next_event().await {
                ConnectionEvent::Read(Ok(0) | Err(_)) => NextStep::Lost,
                ConnectionEvent::Read(Ok(_)) => {
                    if begins_request {
                        self.wait_start = Instant::now();
                    }
                    self.start_requests().await
                }
                ConnectionEvent::Completed(completed) => {
                    self.wait_start = Instant::now();
                    match self.write(completed).await {
                        NextStep::Serve => self.start_requests().await,
                        next_step => next_step,
                    }
                }
                ConnectionEvent::TimedOut => self.handle_timeout().await,
                ConnectionEvent::Stopping => self.close_idle(),
                ConnectionEvent::Evicted => self.evict().await,
            };
            match next_step {
                NextStep::Serve => {}
                NextStep::Linger(unsent) => {
                    let (lingering, _entry) = self.into_lingering(unsent);
                    let is_closed = lingering.close().await;
                    return record_closed(if is_closed { "node" } else { "overdue" });
                }
                NextStep::Close => return record_closed("node"),
                NextStep::Lost => return record_closed("client"),
                NextStep::Overdue => return record_closed("overdue"),
            }
        }
    }

    /// Drops all that the connection holds but its socket and its entry.
    fn into_lingering(self, unsent: UnsentReply) -> (LingeringConnection, ConnectionEntry) {
        (LingeringConnection::new(self.rx, self.tx, unsent), self.entry)
    }

    async fn next_event(&mut self) -> ConnectionEvent {
        let deadline = self.deadline();
        let may_read = self.buf.len() < MAX_BUFFERED_BYTES;
        let is_quiet = self.is_quiet();
        let may_close = self.has_pipelined && is_quiet;
        self.entry.set_idle(is_quiet, self.wait_start);
        self.buf.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            Some(completed) = self.in_progress.next(), if !self.in_progress.is_empty() => {
                ConnectionEvent::Completed(completed)
            }
            read = self.rx.read_buf(&mut self.buf), if may_read => ConnectionEvent::Read(read),
            () = sleep_until(deadline), if self.in_progress.is_empty() => ConnectionEvent::TimedOut,
            Ok(_) = self.shutting_down.wait_for(|is_stopping| *is_stopping), if may_close => {
                ConnectionEvent::Stopping
            }
            () = self.entry.evicted(), if is_quiet => ConnectionEvent::Evicted,
        }
    }

    /// Returns whether no request is in progress or partly received.
    fn is_quiet(&self) -> bool {
        self.in_progress.is_empty() && self.buf.is_empty() && !self.parser.is_in_body()
    }

    /// Returns when to stop waiting for further bytes from the client.
    fn deadline(&self) -> Instant {
        let limits = self.limits.borrow();
        let is_partial = self.parser.is_in_body() || !self.buf.is_empty();
        self.wait_start + if is_partial { limits.header_timeout } else { limits.idle_timeout }
    }

    /// Starts the requests that have been received in full, up to [`MAX_PIPELINED`]. Enqueues an
    /// error response to an invalid one, and sends `100 Continue` if the client waits for it.
    async fn start_requests(&mut self) -> NextStep {
        while self.accepts_requests && self.in_progress.len() < MAX_PIPELINED {
            let limits = *self.limits.borrow();
            let was_in_body = self.parser.is_in_body();
            match self.parser.next(&mut self.buf, &limits) {
                Ok(Some(req)) => {
                    self.wait_start = Instant::now();
                    self.has_sent_continue = false;
                    if self.has_ended() {
                        return NextStep::Lost;
                    }
                    if self.reservation.grow_to(req.body.len()) {
                        self.start(req);
                    } else {
                        self.enqueue_over_budget(!req.head.is_persistent);
                    }
                }
                Ok(None) if !self.reservation.grow_to(self.parser.body_len()) => {
                    self.enqueue_over_budget(true);
                }
                Ok(None) => {
                    if !was_in_body && self.parser.is_in_body() {
                        self.wait_start = Instant::now();
                    }
                    return self.send_continue_if_due().await;
                }
                Err(err) => {
                    spdlog::warn!("request refused: {err}");
                    self.enqueue_error(error_status(err), err.to_string());
                }
            }
        }
        NextStep::Serve
    }

    /// Returns whether the client has ended the connection behind what has been read. It may have
    /// done so long before this process got to read its request, which must not run then.
    fn has_ended(&self) -> bool {
        let stream: &TcpStream = self.rx.as_ref();
        let mut byte = [MaybeUninit::uninit(); 1];
        match SockRef::from(stream).peek(&mut byte) {
            Ok(len) => len == 0,
            Err(err) => err.kind() != io::ErrorKind::WouldBlock,
        }
    }

    fn start(&mut self, req: HttpRequest) {
        let is_head = req.head.method == Method::HEAD;
        let closes_connection = !req.head.is_persistent;
        self.accepts_requests = !closes_connection;
        let handler = self.handler.clone();
        let reservation =
            std::mem::replace(&mut self.reservation, self.request_budget.reservation());
        let mut unsent = self.unsent.begin();
        self.enqueue(async move {
            let response = handler.call(req).await;
            drop(reservation);
            unsent.set_len(response.body.len());
            CompletedRequest { response, unsent, is_head, closes_connection }
        });
    }

    /// Enqueues the response to a request behind those to the requests before it.
    fn enqueue(&mut self, completed: impl Future<Output = CompletedRequest> + Send + 'static) {
        self.has_pipelined |= !self.in_progress.is_empty();
        self.in_progress.push_back(Box::pin(completed));
    }

    /// Enqueues a refusal of a request whose body exceeds what is left of the request budget. The
    /// request is not passed on, so it has certainly not run.
    fn enqueue_over_budget(&mut self, closes_connection: bool) {
        spdlog::warn!("request refused: no memory is left for its body");
        self.accepts_requests = !closes_connection;
        self.reservation = self.request_budget.reservation();
        let body = "the node holds its full number of bytes: come again later\n".to_owned();
        let mut response = HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body);
        response.headers.insert(header::RETRY_AFTER, OVER_BUDGET_RETRY_AFTER);
        let unsent = self.unsent.begin();
        let completed = CompletedRequest { response, unsent, is_head: false, closes_connection };
        self.enqueue(std::future::ready(completed));
    }

    /// Enqueues an error response to a request that is malformed or too long, after the responses
    /// to the requests before it. No further request is accepted.
    fn enqueue_error(&mut self, status: StatusCode, body: String) {
        self.accepts_requests = false;
        let response = HttpResponse::text(status, "text/plain", body);
        let unsent = self.unsent.begin();
        let completed =
            CompletedRequest { response, unsent, is_head: false, closes_connection: true };
        self.enqueue(std::future::ready(completed));
    }

    async fn send_continue_if_due(&mut self) -> NextStep {
        let is_due = self.parser.expects_continue()
            && !self.has_sent_continue
            && self.in_progress.is_empty();
        if !is_due {
            return NextStep::Serve;
        }
        self.has_sent_continue = true;
        self.send(b"HTTP/1.1 100 Continue\r\n\r\n").await
    }

    async fn write(&mut self, completed: CompletedRequest) -> NextStep {
        let CompletedRequest { response, unsent, is_head, closes_connection } = completed;
        // During shutdown, the connection is closed only if no further request is in progress or
        // partly received, because the client would have to send that request again.
        let is_stopping = *self.shutting_down.borrow();
        let closes_connection = closes_connection || (is_stopping && self.is_quiet());
        let HttpResponse { status, headers, body } = response;
        let bytes = encode_response(status, &headers, body, is_head, closes_connection);
        match self.send_message(&bytes).await {
            NextStep::Serve if closes_connection => NextStep::Linger(unsent),
            next_step => next_step,
        }
    }

    async fn send_message(&mut self, message: &EncodedMessage) -> NextStep {
        let mut sent = 0;
        loop {
            let chunk = message.chunk_at(sent);
            if chunk.is_empty() {
                return NextStep::Serve;
            }
            match self.send(chunk).await {
                NextStep::Serve => sent += chunk.len(),
                next_step => return next_step,
            }
        }
    }

    async fn send(&mut self, bytes: &[u8]) -> NextStep {
        match timeout(WRITE_TIMEOUT, self.tx.write_all(bytes)).await {
            Ok(Ok(())) => NextStep::Serve,
            Ok(Err(_)) => NextStep::Lost,
            Err(_) => NextStep::Overdue,
        }
    }

    /// Handles a client that has sent too little for too long: responds if part of a request has
    /// been received, and ends the connection.
    async fn handle_timeout(&mut self) -> NextStep {
        if self.is_quiet() {
            return self.close_idle();
        }
        let body = "the request was not received in time: send it faster\n".to_owned();
        let response = HttpResponse::text(StatusCode::REQUEST_TIMEOUT, "text/plain", body);
        let unsent = self.unsent.begin();
        let completed =
            CompletedRequest { response, unsent, is_head: false, closes_connection: true };
        self.write(completed).await
    }

    /// Ends an idle connection, unless a request has arrived meanwhile.
    async fn evict(&mut self) -> NextStep {
        self.buf.reserve(READ_BUFFER_BYTES);
        match self.rx.try_read_buf(&mut self.buf) {
            Ok(1..) => {
                self.wait_start = Instant::now();
                self.start_requests().await
            }
            _ => self.close_idle(),
        }
    }

    /// Ends an idle connection. A client that doesn't pipeline has received every response by the
    /// time it sends the next request, and repeats one that the node has not read.
    fn close_idle(&self) -> NextStep {
        if self.has_pipelined { NextStep::Linger(self.unsent.begin()) } else { NextStep::Close }
    }
}

/// Counts a connection by who has closed it, or as `overdue` if the node has not waited for the
/// client any longer.
fn record_closed(by: &'static str) {
    counter!("poplartrail_connections_closed_total", "by" => by).increment(1);
}

fn error_status(err: MessageError) -> StatusCode {
    match err {
        MessageError::HeadTooLong(_) | MessageError::TrailerTooLong(_) => {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        }
        MessageError::BodyTooLong(_) => StatusCode::PAYLOAD_TOO_LARGE,
        MessageError::InvalidHead(_)
        | MessageError::AmbiguousLength
        | MessageError::InvalidChunk => StatusCode::BAD_REQUEST,
    }
}

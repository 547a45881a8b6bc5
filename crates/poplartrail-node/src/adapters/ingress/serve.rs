//! Main loop and HTTP servers of the ingress thread.

use std::{convert::Infallible, net::SocketAddr};

use http::Response;
use poplartrail_core::{
    call::Outcome,
    engine::{Input, ReplyPort},
    names::ServiceName,
};
use poplartrail_http::read_body;
use tokio::sync::watch;
use volo::Service;
use volo_http::{body::Body, context::ServerContext, request::Request, server::Server};

use crate::{
    adapters::{
        block_on,
        ingress::{
            connections::BoundedListener,
            read::{self, RequestMetadata, RequestSource},
            reply,
        },
        pending::{CancelGuard, PendingReplies},
    },
    ports::{Clock, DecideMessage, IngressMessage, RingReceiver, RingSender, ring},
};

/// Path at which callers obtain an idempotency key whose home is this node.
const KEY_PATH: &str = "/.poplartrail/key";
/// Maximum number of header fields of a request.
const MAX_HEADER_FIELDS: usize = 128;

/// Parameters of the ingress thread.
#[derive(Debug, Clone)]
pub struct IngressOptions<C> {
    /// Address to listen on for callers.
    pub listen_callers: SocketAddr,
    /// Address to listen on for the outbound calls of the local upstream.
    pub listen_upstream: SocketAddr,
    /// Service of the local upstream.
    pub service: ServiceName,
    /// Size limit of the body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Size limit of the header of a request, in bytes.
    pub max_header_bytes: usize,
    /// Maximum number of open connections of each of the two servers.
    pub max_connections: usize,
    /// Maximum number of requests that wait for a reply.
    pub max_pending: usize,
    /// Source of the current time.
    pub clock: C,
}

/// Serves requests until a stop signal has arrived and the node is drained.
pub fn run<C: Clock + Sync>(
    options: IngressOptions<C>,
    replies: RingReceiver<IngressMessage>,
    decide: &RingSender<DecideMessage>,
    drained: &watch::Receiver<bool>,
) {
    block_on(async move {
        let pending = PendingReplies::new(ReplyPort::Ingress, options.max_pending);
        tokio::spawn(deliver_replies(replies, pending.clone()));
        let service = |source| IngressService {
            source,
            options: options.clone(),
            decide: decide.clone(),
            pending: pending.clone(),
        };
        let source = RequestSource::Callers(options.service.clone());
        tokio::join!(
            serve(options.listen_callers, service(source), drained.clone()),
            serve(options.listen_upstream, service(RequestSource::Upstream), drained.clone()),
        );
    });
}

async fn deliver_replies(replies: RingReceiver<IngressMessage>, pending: PendingReplies<Outcome>) {
    while let Some(message) = replies.recv().await {
        if let IngressMessage::Reply { ticket, outcome } = message {
            pending.complete(ticket, outcome);
        }
    }
}

async fn serve<C: Clock + Sync>(
    addr: SocketAddr,
    service: IngressService<C>,
    mut drained: watch::Receiver<bool>,
) {
    let listener = BoundedListener { addr, max_connections: service.options.max_connections };
    let decide = service.decide.clone();
    let mut server = Server::new(service).http1_only();
    server.http1_config().set_max_headers(MAX_HEADER_FIELDS);
    // The server stops accepting connections when this hook returns, so the hook waits until the
    // node is drained: until then, the node accepts requests and refuses them as draining.
    let server = server.register_shutdown_hook(move || {
        Box::pin(async move {
            decide.send(DecideMessage::Input(Input::Drain)).await;
            let _is_closed = drained.wait_for(|is_drained| *is_drained).await.is_err();
        })
    });
    if let Err(err) = server.run(listener).await {
        spdlog::critical!("cannot serve on {addr}: {err}; choose a free address");
        std::process::exit(1);
    }
}

/// Handles the requests of one of the two servers.
#[derive(Clone)]
struct IngressService<C> {
    source: RequestSource,
    options: IngressOptions<C>,
    decide: RingSender<DecideMessage>,
    pending: PendingReplies<Outcome>,
}

impl<C: Clock + Sync> Service<ServerContext, Request> for IngressService<C> {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let (parts, body) = req.into_parts();
        if matches!(self.source, RequestSource::Callers(_)) && parts.uri.path() == KEY_PATH {
            return Ok(self.mint_key().await);
        }
        let metadata = match read::parse_metadata(&parts, self.options.max_header_bytes) {
            Ok(metadata) => metadata,
            Err(err) => return Ok(reply::bad_request(&err)),
        };
        let body = match read_body(body, self.options.max_body_bytes).await {
            Ok(body) => body,
            Err(err) => return Ok(reply::bad_body(&err)),
        };
        Ok(self.handle_request(&parts, metadata, body).await)
    }
}

impl<C: Clock + Sync> IngressService<C> {
    async fn handle_request(
        &self,
        parts: &http::request::Parts,
        metadata: RequestMetadata,
        body: bytes::Bytes,
    ) -> Response<Body> {
        let has_key =
            !matches!(metadata.idempotency(), poplartrail_core::call::Idempotency::Idempotent);
        let Some((reply_to, reply_rx)) = self.pending.register() else {
            return reply::node_full(has_key);
        };
        let guard = CancelGuard::new(&self.pending, &self.decide, reply_to);
        let now = self.options.clock.now();
        let arrival = match read::arrival(parts, metadata, body, &self.source, reply_to, now) {
            Ok(arrival) => arrival,
            Err(err) => {
                self.pending.unregister(reply_to);
                return reply::bad_request(&err);
            }
        };
        let message = DecideMessage::Input(Input::CallArrived(arrival));
        if self.decide.try_send(message).is_err() {
            self.pending.unregister(reply_to);
            return reply::node_full(has_key);
        }
        let outcome = reply_rx.await;
        drop(guard);
        match outcome {
            Ok(outcome) => reply::response(outcome),
            Err(_) => reply::node_full(true),
        }
    }

    async fn mint_key(&self) -> Response<Body> {
        let (tx, rx) = ring(1);
        let is_asked = self.decide.send(DecideMessage::MintKey(tx)).await;
        let key = if is_asked { rx.recv().await.flatten() } else { None };
        reply::key(key.map(|key| key.to_string()))
    }
}

//! Main loop of the front thread.

use std::net::SocketAddr;

use poplartrail_core::{call::Outcome, engine::ReplyPort, site::CallerLimits};
use poplartrail_http::ByteBudget;
use tokio::sync::watch;

use crate::{
    adapters::{
        block_on,
        front::{
            control::{ControlHandler, ReadinessHandler},
            requests::CallerRequestHandler,
        },
        pending::PendingReplies,
        server::{ServerOptions, serve},
        unsent::UnsentReplies,
    },
    ports::{Clock, DecideMessage, IngressMessage, RingReceiver, RingSender},
};

/// Parameters of the front thread.
#[derive(Debug, Clone)]
pub struct FrontOptions<C> {
    /// Address to listen on for callers and for the outbound calls of the local upstream.
    pub listen_requests: SocketAddr,
    /// Address to listen on for readiness checks.
    pub listen_ready: SocketAddr,
    /// Address to listen on for heartbeats of the local upstream.
    pub listen_control: SocketAddr,
    /// Maximum number of open connections of each of the three servers.
    pub max_connections: usize,
    /// Maximum number of requests that wait for an outcome.
    pub max_pending: usize,
    /// Limit on the bytes of all requests that have been received and not answered yet.
    pub request_budget: ByteBudget,
    /// Counts the responses that have not been written.
    pub unsent: UnsentReplies,
    /// Source of the current time.
    pub clock: C,
}

/// Serves requests until `inbox` is closed.
pub fn run<C: Clock + Sync>(
    options: FrontOptions<C>,
    inbox: RingReceiver<IngressMessage>,
    decide: &RingSender<DecideMessage>,
    shutting_down: &watch::Receiver<bool>,
) {
    block_on(async move {
        let pending = PendingReplies::new(ReplyPort::Ingress, options.max_pending);
        let (limits_tx, limits) = watch::channel(CallerLimits::default());
        let server = |listen| ServerOptions {
            listen,
            max_connections: options.max_connections,
            limits: limits.clone(),
            request_budget: options.request_budget.clone(),
            unsent: options.unsent.clone(),
            shutting_down: shutting_down.clone(),
        };
        let requests = CallerRequestHandler {
            decide: decide.clone(),
            pending: pending.clone(),
            clock: options.clock.clone(),
        };
        tokio::spawn(serve(server(options.listen_requests), requests));
        tokio::spawn(serve(
            server(options.listen_ready),
            ReadinessHandler { decide: decide.clone() },
        ));
        tokio::spawn(serve(
            server(options.listen_control),
            ControlHandler { decide: decide.clone() },
        ));
        handle_messages(inbox, &pending, &limits_tx).await;
    });
}

async fn handle_messages(
    inbox: RingReceiver<IngressMessage>,
    pending: &PendingReplies<Outcome>,
    limits: &watch::Sender<CallerLimits>,
) {
    while let Some(message) = inbox.recv().await {
        match message {
            IngressMessage::Reply { reply_to, outcome } => pending.complete(reply_to, outcome),
            IngressMessage::Limits(new_limits) => {
                limits.send_replace(new_limits);
            }
        }
    }
}

//! Main loop and HTTP server of the report thread.

use std::{
    convert::Infallible,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use http::{Response, StatusCode};
use metrics::{counter, gauge};
use metrics_exporter_prometheus::PrometheusHandle;
use poplartrail_core::{engine::NodeStatus, names::VmName, site::CallerLimits};
use poplartrail_http::ByteBudget;
use tokio::sync::watch;
use volo::{Service, net::Address};
use volo_http::{body::Body, context::ServerContext, request::Request, server::Server};

use crate::{
    adapters::{
        block_on,
        budgets::ByteBudgets,
        report::{EventLog, json, rate_limiter::LogRateLimiter},
        server::{Handler, HttpRequest, HttpResponse, ServerOptions, serve},
        unsent::UnsentReplies,
    },
    ports::{DecideMessage, ReportMessage, RingReceiver, RingSender, ring},
};

/// Limit on log lines about single requests. An overloaded node of the present sites refuses some
/// hundred requests in its worst seconds.
const MAX_REQUEST_LINES_PER_SECOND: u32 = 200;
/// Maximum number of open connections of operators and their tools.
const MAX_CONNECTIONS: usize = 64;
/// Limit on the bytes of all their requests, which have no body.
const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Parameters of the report thread.
#[derive(Clone)]
pub struct ReportOptions {
    /// VM of this node.
    pub vm: VmName,
    /// Address to listen on for operators.
    pub listen: SocketAddr,
    /// Maximum number of events kept in memory.
    pub max_events: usize,
    /// Renders the metrics of the process.
    pub metrics: PrometheusHandle,
    /// Budgets whose use is a metric.
    pub budgets: ByteBudgets,
}

/// Serves operators until a stop signal has arrived and the node is drained.
pub fn run(
    options: ReportOptions,
    inbox: RingReceiver<ReportMessage>,
    decide: &RingSender<DecideMessage>,
    drained: &watch::Receiver<bool>,
) {
    block_on(async move {
        let events = Arc::new(Mutex::new(EventLog::new(options.max_events)));
        tokio::spawn(collect(inbox, events.clone()));
        let listen = options.listen;
        let handler = ReportHandler { options, events, decide: decide.clone() };
        let mut drained = drained.clone();
        let server = Server::new(handler).http1_only().register_shutdown_hook(move || {
            Box::pin(async move {
                let _is_closed = drained.wait_for(|is_drained| *is_drained).await.is_err();
            })
        });
        if let Err(err) = server.run(Address::from(listen)).await {
            spdlog::critical!("cannot serve on {listen}: {err}; choose a free address");
            std::process::exit(1);
        }
    });
}

/// Serves operators in hosted mode until `inbox` is closed.
pub fn run_hosted(
    options: ReportOptions,
    inbox: RingReceiver<ReportMessage>,
    decide: &RingSender<DecideMessage>,
    shutting_down: &watch::Receiver<bool>,
) {
    block_on(async move {
        let events = Arc::new(Mutex::new(EventLog::new(options.max_events)));
        let (_, limits) = watch::channel(CallerLimits::default());
        let server = ServerOptions {
            listen: options.listen,
            max_connections: MAX_CONNECTIONS,
            limits,
            request_budget: ByteBudget::new(MAX_REQUEST_BYTES),
            unsent: UnsentReplies::default(),
            shutting_down: shutting_down.clone(),
        };
        let handler = ReportHandler { options, events: events.clone(), decide: decide.clone() };
        tokio::spawn(serve(server, handler));
        collect(inbox, events).await;
    });
}

async fn collect(inbox: RingReceiver<ReportMessage>, events: Arc<Mutex<EventLog>>) {
    let mut rate_limiter = LogRateLimiter::new(MAX_REQUEST_LINES_PER_SECOND);
    while let Some(message) = inbox.recv().await {
        log_event(&message, &mut rate_limiter);
        events.lock().unwrap_or_else(PoisonError::into_inner).push(message);
    }
}

/// Writes an event to the log. The rate of lines about single requests is limited; events beyond it
/// are counted and appear only on the timeline.
fn log_event(message: &ReportMessage, rate_limiter: &mut LogRateLimiter) {
    let kind = &message.event.kind;
    let (at_ms, event) = (message.at.as_millis(), kind.label());
    let Some(request) = message.event.request_id.map(|id| id.to_string()) else {
        return spdlog::info!("{kind}", kv: { event, at_ms });
    };
    let suppressed = rate_limiter.advance_to(at_ms);
    if suppressed > 0 {
        spdlog::warn!("{suppressed} events left out", kv: { event = "left-out", at_ms });
    }
    let is_admitted =
        if kind.is_minor() { rate_limiter.try_acquire_minor() } else { rate_limiter.try_acquire() };
    if !is_admitted {
        return counter!("poplartrail_log_lines_left_out_total").increment(1);
    }
    match &message.event.rank {
        Some(rank) => {
            let (request, rank) = (request.as_str(), rank.as_str());
            spdlog::info!("{kind}", kv: { event, at_ms, request, rank });
        }
        None => spdlog::info!("{kind}", kv: { event, at_ms, request = request.as_str() }),
    }
}

#[derive(Clone)]
struct ReportHandler {
    options: ReportOptions,
    events: Arc<Mutex<EventLog>>,
    decide: RingSender<DecideMessage>,
}

impl Service<ServerContext, Request> for ReportHandler {
    type Response = Response<Body>;
    type Error = Infallible;

    async fn call(
        &self,
        _cx: &mut ServerContext,
        req: Request,
    ) -> Result<Self::Response, Self::Error> {
        let uri = req.uri();
        let HttpResponse { status, headers, body } =
            self.page(uri.path(), uri.query().unwrap_or("")).await;
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = status;
        *response.headers_mut() = headers;
        Ok(response)
    }
}

impl Handler for ReportHandler {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        let target = &req.head.target;
        let (path, query) = target.split_once('?').unwrap_or((target.as_str(), ""));
        self.page(path, query).await
    }
}

impl ReportHandler {
    async fn page(&self, path: &str, query: &str) -> HttpResponse {
        match path {
            "/health" => self.health().await,
            "/metrics" => text(StatusCode::OK, "text/plain; version=0.0.4", self.metrics()),
            "/status" => self.status().await,
            "/events" => self.events(query),
            _ => text(
                StatusCode::NOT_FOUND,
                "text/plain",
                "no such page: ask for /health, /metrics, /status or /events\n".to_owned(),
            ),
        }
    }

    async fn node_status(&self) -> Option<NodeStatus> {
        let (tx, rx) = ring(1);
        if !self.decide.send(DecideMessage::GetStatus(tx)).await {
            return None;
        }
        rx.recv().await
    }

    async fn health(&self) -> HttpResponse {
        match self.node_status().await {
            Some(node_status) if node_status.phase == "serving" => {
                text(StatusCode::OK, "text/plain", "serving\n".to_owned())
            }
            Some(node_status) => {
                let phase = format!("{}\n", node_status.phase);
                text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", phase)
            }
            None => node_stopped(),
        }
    }

    fn metrics(&self) -> String {
        for (holder, bytes) in self.options.budgets.held() {
            gauge!("poplartrail_held_bytes", "holder" => holder).set(bytes as f64);
        }
        self.options.metrics.render()
    }

    async fn status(&self) -> HttpResponse {
        match self.node_status().await {
            Some(node_status) => text(
                StatusCode::OK,
                "application/json",
                format!("{}\n", json::status_json(&node_status)),
            ),
            None => node_stopped(),
        }
    }

    fn events(&self, query: &str) -> HttpResponse {
        let from = query.strip_prefix("from=").unwrap_or("0").parse();
        let Ok(from) = from else {
            let body = "from is no number: ask for /events?from=0\n".to_owned();
            return text(StatusCode::BAD_REQUEST, "text/plain", body);
        };
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        let lines: String = events
            .since(from)
            .map(|event| format!("{}\n", json::event_json(&self.options.vm, event)))
            .collect();
        text(StatusCode::OK, "application/x-ndjson", lines)
    }
}

fn node_stopped() -> HttpResponse {
    text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "the node has stopped\n".to_owned())
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> HttpResponse {
    HttpResponse::text(status, content_type, body)
}

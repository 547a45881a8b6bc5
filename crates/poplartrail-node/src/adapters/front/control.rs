//! Handlers of readiness checks and of the local upstream's heartbeats.

use std::time::Duration;

use http::StatusCode;
use metrics::counter;
use poplartrail_core::upstream::{Deregistration, Heartbeat, ReportedState};
use poplartrail_platform::{
    ControlCall, decode_control_call, encode_control_error, is_readiness_call,
};
use tokio::time::timeout;

use crate::{
    adapters::server::{Handler, HttpRequest, HttpResponse},
    ports::{DecideMessage, RingSender, ring},
};

/// Longest wait for the store before an acknowledgement, which the upstream must get within a second.
const MAX_STORE_WAIT: Duration = Duration::from_millis(800);

/// Remedy in the response to a message that is not acknowledged.
const NOT_STORED: &str =
    "no new calls are passed on, but the store has not recorded it: send this again";

/// Responds whether the node accepts work.
#[derive(Clone)]
pub(crate) struct ReadinessHandler {
    pub(crate) decide: RingSender<DecideMessage>,
}

impl Handler for ReadinessHandler {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        if !is_readiness_call(&req.head.method, &req.head.target) {
            return not_found();
        }
        let (tx, rx) = ring(1);
        let is_asked = self.decide.send(DecideMessage::IsReady(tx)).await;
        match rx.recv().await {
            Some(true) if is_asked => HttpResponse::empty(StatusCode::OK),
            _ => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// Handles the heartbeats and the deregistration of the local upstream.
#[derive(Clone)]
pub(crate) struct ControlHandler {
    pub(crate) decide: RingSender<DecideMessage>,
}

impl Handler for ControlHandler {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        match decode_control_call(&req.head.method, &req.head.target, &req.body) {
            Ok(Some(ControlCall::Heartbeat(heartbeat))) => self.handle_heartbeat(heartbeat).await,
            Ok(Some(ControlCall::Deregister(deregistration))) => {
                self.handle_deregistration(deregistration).await
            }
            Ok(None) => not_found(),
            Err(err) => {
                spdlog::warn!("heartbeat refused: {err}");
                encode_control_error(StatusCode::BAD_REQUEST, err).into()
            }
        }
    }
}

impl ControlHandler {
    /// Responds once the gate has applied the heartbeat, and once the store has recorded that the
    /// upstream drains.
    async fn handle_heartbeat(&self, heartbeat: Heartbeat) -> HttpResponse {
        let is_draining = heartbeat.state == ReportedState::Draining;
        let (reply_to, rx) = ring(1);
        self.decide.send(DecideMessage::Heartbeat { heartbeat, reply_to }).await;
        match rx.recv().await {
            Some(Ok(())) if is_draining => self.acknowledge_end().await,
            Some(Ok(())) => acknowledged(),
            Some(Err(err)) => {
                spdlog::warn!("heartbeat refused: {err}");
                encode_control_error(StatusCode::CONFLICT, err).into()
            }
            None => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn handle_deregistration(&self, deregistration: Deregistration) -> HttpResponse {
        let (reply_to, rx) = ring(1);
        self.decide.send(DecideMessage::Deregister { deregistration, reply_to }).await;
        match rx.recv().await {
            Some(()) => self.acknowledge_end().await,
            None => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Acknowledges that the upstream takes no new work once the store has recorded it, so that the
    /// acknowledgement binds also the next process of this node.
    ///
    /// While the store is out of reach there is no acknowledgement, although the gate of this
    /// process is closed already. The upstream sends its message again, or exits without.
    async fn acknowledge_end(&self) -> HttpResponse {
        let (reply_to, rx) = ring(1);
        self.decide.send(DecideMessage::AwaitStored(reply_to)).await;
        if timeout(MAX_STORE_WAIT, rx.recv()).await == Ok(Some(())) {
            return acknowledged();
        }
        counter!("poplartrail_acks_withheld_total").increment(1);
        spdlog::warn!("end of the upstream not acknowledged: the store has not recorded it");
        encode_control_error(StatusCode::SERVICE_UNAVAILABLE, NOT_STORED).into()
    }
}

fn acknowledged() -> HttpResponse {
    HttpResponse::text(StatusCode::OK, "application/json", "{}".to_owned())
}

fn not_found() -> HttpResponse {
    HttpResponse::empty(StatusCode::NOT_FOUND)
}

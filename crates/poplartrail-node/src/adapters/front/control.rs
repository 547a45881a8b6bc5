//! Readiness checks, and what the own upstream says of itself.

use http::StatusCode;
use poplartrail_core::upstream::{Deregistration, Heartbeat};
use poplartrail_platform::{
    ControlCall, decode_control_call, encode_control_error, is_readiness_call,
};

use crate::{
    adapters::server::{Handler, HttpRequest, HttpResponse},
    ports::{DecideMessage, RingSender, ring},
};

/// Answers whether the node takes work.
#[derive(Clone)]
pub(crate) struct ReadyFront {
    pub(crate) decide: RingSender<DecideMessage>,
}

impl Handler for ReadyFront {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        if !is_readiness_call(&req.head.method, &req.head.target) {
            return no_such_page();
        }
        let (tx, rx) = ring(1);
        let is_asked = self.decide.send(DecideMessage::IsReady(tx)).await;
        match rx.recv().await {
            Some(true) if is_asked => HttpResponse::empty(StatusCode::OK),
            _ => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

/// Takes in the own upstream's heartbeats.
#[derive(Clone)]
pub(crate) struct ControlFront {
    pub(crate) decide: RingSender<DecideMessage>,
}

impl Handler for ControlFront {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        match decode_control_call(&req.head.method, &req.head.target, &req.body) {
            Ok(Some(ControlCall::Heartbeat(check_in))) => self.check_in(check_in).await,
            Ok(Some(ControlCall::Deregister(departure))) => self.depart(departure).await,
            Ok(None) => no_such_page(),
            Err(err) => {
                spdlog::warn!("heartbeat refused: {err}");
                encode_control_error(StatusCode::BAD_REQUEST, err).into()
            }
        }
    }
}

impl ControlFront {
    /// Answers once the gate has taken in what the heartbeat says.
    async fn check_in(&self, check_in: Heartbeat) -> HttpResponse {
        let (answer, rx) = ring(1);
        self.decide.send(DecideMessage::Heartbeat { heartbeat: check_in, reply_to: answer }).await;
        match rx.recv().await {
            Some(Ok(())) => HttpResponse::text(StatusCode::OK, "application/json", "{}".to_owned()),
            Some(Err(err)) => {
                spdlog::warn!("heartbeat refused: {err}");
                encode_control_error(StatusCode::CONFLICT, err).into()
            }
            None => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    async fn depart(&self, departure: Deregistration) -> HttpResponse {
        let (answer, rx) = ring(1);
        self.decide
            .send(DecideMessage::Deregister { deregistration: departure, reply_to: answer })
            .await;
        match rx.recv().await {
            Some(()) => HttpResponse::text(StatusCode::OK, "application/json", "{}".to_owned()),
            None => HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE),
        }
    }
}

fn no_such_page() -> HttpResponse {
    HttpResponse::empty(StatusCode::NOT_FOUND)
}

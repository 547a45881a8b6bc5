//! Handler of requests of callers and of the local upstream.

use http::StatusCode;
use poplartrail_core::{
    call::Outcome,
    engine::{Input, UnroutedRequest},
    time::Time,
};
use poplartrail_platform::{CallerRequest, decode_request, encode_outcome};

use crate::{
    adapters::{
        pending::{CancelGuard, PendingReplies},
        server::{Handler, HttpRequest, HttpResponse},
    },
    ports::{Clock, DecideMessage, RingSender},
};

/// Passes requests to the decide thread and responds with their outcomes.
#[derive(Clone)]
pub(crate) struct CallerRequestHandler<C> {
    pub(crate) decide: RingSender<DecideMessage>,
    pub(crate) pending: PendingReplies<Outcome>,
    pub(crate) clock: C,
}

impl<C: Clock + Sync> Handler for CallerRequestHandler<C> {
    async fn call(&self, req: HttpRequest) -> HttpResponse {
        let now = self.clock.now();
        match decode_request(&req.head, req.body) {
            Ok(req) => self.handle_request(now, req).await,
            Err(err) => {
                spdlog::warn!("request refused: {err}");
                HttpResponse::text(StatusCode::BAD_REQUEST, "text/plain", format!("{err}\n"))
            }
        }
    }
}

impl<C: Clock + Sync> CallerRequestHandler<C> {
    async fn handle_request(&self, now: Time, req: CallerRequest) -> HttpResponse {
        let request_id = req.request_id;
        let Some((reply_to, reply_rx)) = self.pending.register() else {
            spdlog::warn!("too many requests wait for a reply: raise ring_len", kv: { request = request_id.to_string().as_str() });
            return unavailable();
        };
        let guard = CancelGuard::new(&self.pending, &self.decide, reply_to);
        let input = Input::RequestArrived(UnroutedRequest {
            reply_to,
            request_id,
            host: req.host,
            deadline: req.time_left.map(|time_left| now + time_left),
            payload: req.payload,
        });
        if self.decide.try_send(DecideMessage::Input(input)).is_err() {
            self.pending.unregister(reply_to);
            spdlog::warn!("the decide ring is full: raise ring_len", kv: { request = request_id.to_string().as_str() });
            return unavailable();
        }
        let outcome = reply_rx.await;
        drop(guard);
        match outcome {
            Ok(outcome) => encode_outcome(&outcome).into(),
            // The decide thread has ended. The request may have been dispatched.
            Err(_) => HttpResponse::empty(StatusCode::BAD_GATEWAY),
        }
    }
}

/// Returns the response to a request that was not passed on, and so has certainly not run.
fn unavailable() -> HttpResponse {
    HttpResponse::empty(StatusCode::SERVICE_UNAVAILABLE)
}

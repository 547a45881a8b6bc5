//! HTTP server of the stand-in upstream.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Response};
use serde_json::json;
use tokio::{
    sync::Semaphore,
    time::{Instant, sleep, sleep_until},
};
use volo_http::body::Body;

use crate::{
    caller::{Call, Caller},
    serve::{Handler, WholeRequest, response, serve},
    upstream::{Behaviour, Counts},
};

/// Time for which an answer that a test wants lost is withheld; the call keeps its slot meanwhile.
const LOST_ANSWER_DELAY: Duration = Duration::from_secs(60);

/// Parameters of the stand-in upstream.
#[derive(Debug, Clone)]
pub struct UpstreamOptions {
    /// Address where the upstream accepts calls.
    pub listen: SocketAddr,
    /// Address of the node that takes its outbound calls.
    pub node: SocketAddr,
    /// Service that the upstream calls once for each call, if any.
    pub next_service: Option<String>,
    /// Behaviour until a test replaces it.
    pub behaviour: Behaviour,
}

/// Serves an upstream until a signal ends the process.
pub fn run(options: UpstreamOptions) -> std::io::Result<()> {
    let slots = options.behaviour.slots;
    let upstream = Upstream {
        state: Arc::new(Mutex::new(State {
            behaviour: options.behaviour.clone(),
            counts: Counts::default(),
        })),
        slots: Arc::new(Semaphore::new(slots)),
        node: Caller::new(options.node),
        next_service: options.next_service.map(Arc::from),
    };
    serve(options.listen, upstream)
}

struct State {
    behaviour: Behaviour,
    counts: Counts,
}

#[derive(Clone)]
struct Upstream {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
    node: Caller,
    next_service: Option<Arc<str>>,
}

/// Counts a call as cancelled when dropped before the call has ended.
struct CancelGuard<'a> {
    upstream: &'a Upstream,
    has_ended: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.upstream.lock().counts.cancelled += 1;
        }
    }
}

impl Upstream {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice::<Behaviour>(body) {
            Ok(behaviour) => {
                self.lock().behaviour = behaviour;
                response(200, "done\n")
            }
            Err(err) => response(400, err.to_string()),
        }
    }

    fn load(&self) -> Response<Body> {
        let behaviour = &self.lock().behaviour;
        let slots = behaviour.stated_slots.unwrap_or(behaviour.slots);
        response(200, json!({"slots": slots}).to_string())
    }

    fn counts(&self) -> Response<Body> {
        let counts = serde_json::to_string(&self.lock().counts).unwrap_or_default();
        response(200, counts)
    }

    async fn run_call(&self, request: WholeRequest) -> Response<Body> {
        let headers = &request.parts.headers;
        let start = Instant::now();
        self.record_received(headers);
        let mut guard = CancelGuard { upstream: self, has_ended: false };
        if let Some(status) = self.lock().behaviour.status {
            guard.has_ended = true;
            return response(status, "status set by the test\n");
        }
        let Ok(_slot) = self.slots.acquire().await else { return response(500, "closed\n") };
        let deadline = start + time_left(headers);
        let self_time = Duration::from_micros(self.lock().behaviour.work_us);
        if Instant::now() + self_time > deadline {
            guard.has_ended = true;
            return response(504, "too little time left\n");
        }
        // The timer rounds up to a millisecond, so a self time of zero must skip it.
        if !self_time.is_zero() {
            sleep_until(Instant::now() + self_time).await;
        }
        let is_lost = self.record_run(headers);
        let next_answer = self.call_next(&request).await;
        guard.has_ended = true;
        if is_lost {
            sleep(LOST_ANSWER_DELAY).await;
        }
        self.build_answer(&request, next_answer)
    }

    fn record_received(&self, headers: &HeaderMap) {
        let mut state = self.lock();
        state.counts.received += 1;
        let names = headers.keys().map(ToString::to_string);
        state.counts.last_fields = names.collect();
    }

    /// Counts a run and returns whether its answer is to be lost.
    fn record_run(&self, headers: &HeaderMap) -> bool {
        let mut state = self.lock();
        state.counts.ran += 1;
        if let Some(key) = header_text(headers, "idempotency-key") {
            *state.counts.keys.entry(key.to_owned()).or_default() += 1;
        }
        if let Some(rank) = header_text(headers, "poplartrail-rank") {
            *state.counts.ranks.entry(rank.to_owned()).or_default() += 1;
        }
        let is_lost = state.behaviour.lost_answers > 0;
        state.behaviour.lost_answers = state.behaviour.lost_answers.saturating_sub(1);
        is_lost
    }

    /// Calls the next service, if any, with the path and the context of `request`.
    ///
    /// Returns the status and the body of its answer, or status 502 if none arrives.
    async fn call_next(&self, request: &WholeRequest) -> Option<(u16, Bytes)> {
        let next = self.next_service.as_ref()?;
        let headers = &request.parts.headers;
        let mut call = Call::get(request.parts.uri.path()).field("poplartrail-service", &**next);
        if let Some(context) = header_text(headers, "poplartrail-context") {
            call = call.field("poplartrail-context", context);
        }
        match self.node.send(&call).await {
            Ok(reply) => Some((reply.status, reply.body)),
            Err(_) => Some((502, Bytes::from_static(b"the next service did not answer"))),
        }
    }

    /// Builds an answer from the path and the body of `request` and the answer of the next service.
    fn build_answer(
        &self,
        request: &WholeRequest,
        next_answer: Option<(u16, Bytes)>,
    ) -> Response<Body> {
        let (status, next_body) = next_answer.unwrap_or((200, Bytes::new()));
        let status = if status == 200 { 200 } else { 502 };
        let mut body = Vec::with_capacity(request.body.len() + next_body.len() + 64);
        body.extend_from_slice(request.parts.uri.path().as_bytes());
        body.push(b'\n');
        body.extend_from_slice(&request.body);
        body.extend_from_slice(&next_body);
        let mut response = response(status, body);
        // Echoes the field by which a test recognizes the answer to its call.
        if let Some(mark) = request.parts.headers.get("x-mark") {
            response.headers_mut().insert("x-mark", mark.clone());
            // The node must not forward this copy, as the field is hop-by-hop.
            response.headers_mut().insert("proxy-authenticate", mark.clone());
        }
        response
    }
}

impl Handler for Upstream {
    async fn handle(&self, request: WholeRequest) -> Response<Body> {
        match request.parts.uri.path() {
            "/stand/control" => self.control(&request.body),
            "/stand/load" => self.load(),
            "/stand/counts" => self.counts(),
            _ => self.run_call(request).await,
        }
    }
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

fn time_left(headers: &HeaderMap) -> Duration {
    let remaining_ms =
        header_text(headers, "poplartrail-deadline-ms").and_then(|text| text.parse().ok());
    remaining_ms.map_or(Duration::from_secs(60), Duration::from_millis)
}

//! HTTP server of the stand-in log.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::Response;
use poplartrail_wire::generated::LogRead;
use prost::Message;
use serde_json::json;
use tokio::time::sleep;
use volo_http::body::Body;

use crate::{
    log::{Faults, Streams},
    serve::{Handler, WholeRequest, response, serve},
};

/// Time for which a response is withheld while the log is down, or when a test wants it lost.
const LOST_RESPONSE_DELAY: Duration = Duration::from_secs(60);

#[derive(Clone)]
struct Log {
    state: Arc<Mutex<State>>,
}

struct State {
    streams: Streams,
    faults: Faults,
    reads: u64,
    appends: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// Serves a log at `addr` that keeps each record for `retention`, until a signal ends the process.
pub fn run(addr: SocketAddr, retention: Duration) -> std::io::Result<()> {
    let state = State {
        streams: Streams::new(retention),
        faults: Faults::default(),
        reads: 0,
        appends: 0,
        bytes_in: 0,
        bytes_out: 0,
    };
    serve(addr, Log { state: Arc::new(Mutex::new(state)) })
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, body: &[u8]) -> Response<Body> {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.lock().faults = faults;
                response(200, "done\n")
            }
            Err(err) => response(400, err.to_string()),
        }
    }

    async fn append(&self, name: &str, body: bytes::Bytes) -> Response<Body> {
        let (appended, is_lost) = {
            let mut state = self.lock();
            state.appends += 1;
            let appended = state.streams.append(name, body);
            let is_lost = state.faults.lost_answers > 0;
            state.faults.lost_answers = state.faults.lost_answers.saturating_sub(1);
            (appended, is_lost)
        };
        if is_lost {
            sleep(LOST_RESPONSE_DELAY).await;
        }
        response(200, appended.encode_to_vec())
    }

    fn read(&self, body: &[u8]) -> Response<Body> {
        let Ok(read) = LogRead::decode(body) else { return response(400, "malformed read\n") };
        let mut state = self.lock();
        state.reads += 1;
        let pages = state.streams.read(&read.cursors).encode_to_vec();
        state.bytes_out += pages.len() as u64;
        response(200, pages)
    }

    fn counts(&self) -> Response<Body> {
        let state = self.lock();
        let counts = json!({
            "reads": state.reads,
            "appends": state.appends,
            "bytes_in": state.bytes_in,
            "bytes_out": state.bytes_out,
            "config": state.streams.appended_count("config"),
        });
        response(200, counts.to_string())
    }
}

impl Handler for Log {
    async fn handle(&self, request: WholeRequest) -> Response<Body> {
        let path = request.parts.uri.path().to_owned();
        if path == "/control" {
            return self.control(&request.body);
        }
        self.lock().bytes_in += request_bytes(&request);
        let faults = self.lock().faults.clone();
        sleep(Duration::from_millis(faults.delay_ms)).await;
        if faults.is_down {
            sleep(LOST_RESPONSE_DELAY).await;
            return response(503, "the log is down\n");
        }
        match path.strip_prefix("/v1/streams/") {
            Some(name) => self.append(name, request.body).await,
            None if path == "/v1/read" => self.read(&request.body),
            None if path == "/counts" => self.counts(),
            None => response(404, "no such path\n"),
        }
    }
}

/// Approximate size of a request on the connection: its path, header fields and body, in bytes.
fn request_bytes(request: &WholeRequest) -> u64 {
    let fields = request.parts.headers.iter();
    let header: usize = fields.map(|(name, value)| name.as_str().len() + value.len() + 4).sum();
    (request.parts.uri.path().len() + header + request.body.len()) as u64
}

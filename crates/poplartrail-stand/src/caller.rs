//! A caller that sends requests over HTTP.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Method};
use http_body_util::{BodyExt, Full};
use volo_http::{
    client::{Client, ClientBuilder},
    error::ClientError,
};

/// A request to send.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    fields: Vec<(String, String)>,
    body: Bytes,
}

impl Call {
    /// Creates a `GET` request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), fields: Vec::new(), body: Bytes::new() }
    }

    /// Creates a `POST` request.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, path: path.into(), fields: Vec::new(), body: body.into() }
    }

    /// Sets the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header field.
    #[must_use]
    pub fn field(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.fields.push((name.into(), value.into()));
        self
    }

    /// Sets the rank, in the field `poplartrail-rank`.
    #[must_use]
    pub fn rank(self, rank: &str) -> Self {
        self.field("poplartrail-rank", rank)
    }

    /// Sets the key, in the field `idempotency-key`.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.field("idempotency-key", key)
    }
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields of the response.
    pub headers: HeaderMap,
    /// Body; empty if it was not received completely.
    pub body: Bytes,
    /// Time from sending the request to the end of the response.
    pub time: Duration,
}

impl Reply {
    /// Returns the outcome that the node states: `answered`, `not-run` or `unknown`, or an empty
    /// string if the response states none.
    pub fn outcome(&self) -> &str {
        self.headers.get("poplartrail-outcome").and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// Returns the body as text; bytes that are not UTF-8 are replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends requests to one address; clones share their connections.
#[derive(Clone)]
pub struct Caller {
    client: Arc<Client<Full<Bytes>>>,
    addr: SocketAddr,
}

/// Largest number of idle connections that a caller keeps.
const MAX_IDLE_CONNECTIONS: usize = 1024;

impl Caller {
    /// Creates a caller of the server at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        let mut builder = ClientBuilder::new();
        builder
            .set_max_idle_per_host(MAX_IDLE_CONNECTIONS)
            .set_connect_timeout(Duration::from_secs(5));
        let client = builder.build_without_extra_layers().expect("the client should be valid");
        Self { client: Arc::new(client), addr }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&self, call: &Call) -> Result<Reply, ClientError> {
        let start = Instant::now();
        let uri = format!("http://{}{}", self.addr, call.path);
        let mut request =
            self.client.request(call.method.clone(), uri).header("host", self.addr.to_string());
        for (name, value) in &call.fields {
            request = request.header(name.as_str(), value.as_str());
        }
        let response = request.body(Full::new(call.body.clone())).send().await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
        let status = parts.status.as_u16();
        Ok(Reply { status, headers: parts.headers, body, time: start.elapsed() })
    }
}

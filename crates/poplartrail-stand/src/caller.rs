//! A caller over HTTP.

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

/// One request.
#[derive(Debug, Clone)]
pub struct Call {
    method: Method,
    path: String,
    fields: Vec<(String, String)>,
    body: Bytes,
}

impl Call {
    /// A `GET` request.
    pub fn get(path: impl Into<String>) -> Self {
        Self { method: Method::GET, path: path.into(), fields: Vec::new(), body: Bytes::new() }
    }

    /// A `POST` request.
    pub fn post(path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self { method: Method::POST, path: path.into(), fields: Vec::new(), body: body.into() }
    }

    /// Replaces the method.
    #[must_use]
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Replaces the body.
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

    /// States the rank.
    #[must_use]
    pub fn rank(self, rank: &str) -> Self {
        self.field("poplartrail-rank", rank)
    }

    /// States the key.
    #[must_use]
    pub fn key(self, key: &str) -> Self {
        self.field("idempotency-key", key)
    }
}

/// A whole response.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time from the request to the end of the response.
    pub time: Duration,
}

impl Reply {
    /// The outcome that the node states: `answered`, `not-run` or `unknown`.
    pub fn outcome(&self) -> &str {
        self.headers.get("poplartrail-outcome").and_then(|v| v.to_str().ok()).unwrap_or("")
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends requests to one address.
#[derive(Clone)]
pub struct Caller {
    client: Arc<Client<Full<Bytes>>>,
    to: SocketAddr,
}

/// Idle connections that a caller keeps.
const MAX_IDLE: usize = 1024;

impl Caller {
    /// A caller of the server at `to`.
    pub fn new(to: SocketAddr) -> Self {
        let mut builder = ClientBuilder::new();
        builder.set_max_idle_per_host(MAX_IDLE).set_connect_timeout(Duration::from_secs(5));
        let client = builder.build_without_extra_layers().expect("a plain client can be built");
        Self { client: Arc::new(client), to }
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&self, call: &Call) -> Result<Reply, ClientError> {
        let start = Instant::now();
        let uri = format!("http://{}{}", self.to, call.path);
        let mut request =
            self.client.request(call.method.clone(), uri).header("host", self.to.to_string());
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

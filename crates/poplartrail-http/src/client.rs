//! HTTP client for requests with buffered bodies.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body_util::Full;

use crate::read_body;
use volo_http::{
    client::{Client, ClientBuilder},
    error::{ClientError, client::ErrorKind},
};

/// Longest wait for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Request body that is held in memory as a whole.
pub type BufferedBody = Full<Bytes>;
/// HTTP client with a connection pool, for requests with a [`BufferedBody`].
pub type HttpClient = Client<BufferedBody>;

/// Builds a client that keeps at most `max_idle` idle connections to each host.
pub fn build_client(max_idle: usize) -> Result<HttpClient, ClientError> {
    let mut builder = ClientBuilder::new();
    builder
        .set_connect_timeout(CONNECT_TIMEOUT)
        .set_pool_idle_timeout(IDLE_TIMEOUT)
        .set_max_idle_per_host(max_idle);
    builder.build_without_extra_layers()
}

/// Returns whether no connection could be opened, so that no byte of the request was sent.
pub fn is_connect_error(err: &ClientError) -> bool {
    *err.kind() == ErrorKind::Connect
}

/// Requests `path` from the server at `addr` and returns the body, of at most `max_bytes`.
///
/// Returns `None` on any failure and on a status that is not 2xx.
pub async fn get(
    client: &HttpClient,
    addr: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Option<Bytes> {
    let request = client
        .request(Method::GET, format!("http://{addr}{path}"))
        .header("host", addr.to_string())
        .body(Full::new(Bytes::new()));
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    read_body(response.into_body(), max_bytes).await.ok()
}

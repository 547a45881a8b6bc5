//! A client for requests that are sent whole.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body_util::Full;

use crate::read_body;
use volo_http::{
    client::{Client, ClientBuilder},
    error::{ClientError, client::ErrorKind},
};

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Body of a request that is sent whole.
pub type BufferedBody = Full<Bytes>;
/// A client for whole requests.
pub type HttpClient = Client<BufferedBody>;

/// Makes a client that keeps at most `max_idle` idle connections.
pub fn build_client(max_idle: usize) -> Result<HttpClient, ClientError> {
    let mut builder = ClientBuilder::new();
    builder
        .set_connect_timeout(CONNECT_TIMEOUT)
        .set_pool_idle_timeout(IDLE_TIMEOUT)
        .set_max_idle_per_host(max_idle);
    builder.build_without_extra_layers()
}

/// Whether `err` shows that no connection could be opened, so that nothing was written.
pub fn is_connect_error(err: &ClientError) -> bool {
    *err.kind() == ErrorKind::Connect
}

/// Reads the page `path` of the server at `from`, of at most `max_bytes`.
///
/// `None` stands for any failure and for a status other than success.
pub async fn get(
    client: &HttpClient,
    from: SocketAddr,
    path: &str,
    max_bytes: usize,
) -> Option<Bytes> {
    let request = client
        .request(Method::GET, format!("http://{from}{path}"))
        .header("host", from.to_string())
        .body(Full::new(Bytes::new()));
    let response = request.send().await.ok()?;
    if !response.status().is_success() {
        return None;
    }
    read_body(response.into_body(), max_bytes).await.ok()
}

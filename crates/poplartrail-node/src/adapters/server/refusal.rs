//! Refusal of connections beyond the bound.

use std::{sync::Arc, time::Duration};

use bytes::BytesMut;
use http::{HeaderValue, StatusCode, header};
use metrics::counter;
use poplartrail_http::h1::encode_response;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::timeout,
};

use crate::adapters::{
    server::{HttpResponse, lingering::LingeringConnection},
    unsent::UnsentReplies,
};

/// Connections that are refused at the same time. Further ones are closed without an answer.
const MAX_REFUSALS: usize = 256;
/// Time limit for the first bytes of a request, which are not read on.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for these bytes.
const BUFFER_BYTES: usize = 4 << 10;
/// Seconds after which a connection may be admitted: most requests end within that time.
const RETRY_AFTER: HeaderValue = HeaderValue::from_static("1");

/// Refuses connections with the answer that nothing has run.
#[derive(Debug, Clone)]
pub(crate) struct Refuser {
    permits: Arc<Semaphore>,
    unsent: UnsentReplies,
}

impl Refuser {
    pub(crate) fn new(unsent: UnsentReplies) -> Self {
        Self { permits: Arc::new(Semaphore::new(MAX_REFUSALS)), unsent }
    }

    /// Refuses the connection in a task of its own, or closes it if there are too many of these.
    pub(crate) fn refuse(&self, stream: TcpStream) {
        let permit = self.permits.clone().try_acquire_owned();
        let how = if permit.is_ok() { "answered" } else { "closed" };
        counter!("poplartrail_connections_refused_total", "how" => how).increment(1);
        if let Ok(permit) = permit {
            tokio::spawn(answer(stream, self.unsent.clone(), permit));
        }
    }
}

/// Answers the first request on `stream`, of which no more than a part is read, and waits until the
/// client closes the connection.
async fn answer(stream: TcpStream, unsent: UnsentReplies, _permit: OwnedSemaphorePermit) {
    let (mut rx, mut tx) = stream.into_split();
    let mut buf = BytesMut::with_capacity(BUFFER_BYTES);
    let is_sent = timeout(READ_TIMEOUT, rx.read_buf(&mut buf)).await;
    if !matches!(is_sent, Ok(Ok(1..))) {
        return;
    }
    let unsent = unsent.connection().begin();
    let body = "every connection is in use: come again later\n".to_owned();
    let mut response = HttpResponse::text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", body);
    response.headers.insert(header::RETRY_AFTER, RETRY_AFTER);
    let HttpResponse { status, headers, body } = response;
    let message = encode_response(status, &headers, body, false, true);
    // The response is a few hundred bytes long, which an empty send buffer takes at once.
    if tx.write_all(message.chunk_at(0)).await.is_ok() {
        LingeringConnection::new(rx, tx, unsent).close().await;
    }
}

//! Client of the platform log.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use poplartrail_core::{engine::StreamId, time::WallTime};
use poplartrail_wire::{
    generated::LogAppended,
    log::{ReadReply, decode_read_reply, encode_read, stream_name},
};
use prost::Message;
use quick_error::quick_error;
use tokio::time::timeout;

use crate::{HttpClient, build_client, is_connect_error, read_body};

/// Most idle connections that are kept to the log.
const MAX_IDLE_CONNECTIONS: usize = 2;
/// Largest response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

quick_error! {
    /// Failure of a request to the platform log.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LogError {
        /// No connection could be opened; nothing was appended.
        NotConnected {
            display("the platform log cannot be reached: check platform.addr and that it runs")
        }
        /// No whole response arrived in time; an append may have taken effect.
        NoResponse {
            display("the platform log did not answer: read it back before you append again")
        }
        /// The log responded with a status that is not 2xx; nothing was appended.
        ErrorStatus(status: u16) {
            display("the platform log responded with status {}: look at its own log", status)
        }
        /// The response could not be decoded, or the HTTP client could not be built.
        InvalidResponse(why: String) {
            display("the response of the platform log is invalid ({}): check platform.addr", why)
        }
    }
}

/// Where and when the log stored an appended record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AppendedRecord {
    /// Position of the record in its stream.
    pub offset: u64,
    /// Time of the append by the clock of the log.
    pub at: WallTime,
}

/// HTTP client of the platform log.
pub struct LogClient {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// Creates a client of the log at `addr`. A request without a whole response after `timeout`
    /// fails with [`LogError::NoResponse`].
    pub fn new(addr: SocketAddr, timeout: Duration) -> Result<Self, LogError> {
        let client = build_client(MAX_IDLE_CONNECTIONS)
            .map_err(|err| LogError::InvalidResponse(err.to_string()))?;
        Ok(Self { client, addr, timeout })
    }

    /// Appends one record to `stream`.
    pub async fn append(
        &self,
        stream: &StreamId,
        body: Vec<u8>,
    ) -> Result<AppendedRecord, LogError> {
        let path = format!("/v1/streams/{}", stream_name(stream));
        let response = self.post(&path, body).await?;
        let response = LogAppended::decode(response);
        let response = response.map_err(|err| LogError::InvalidResponse(err.to_string()))?;
        Ok(AppendedRecord { offset: response.offset, at: WallTime::from_millis(response.at_ms) })
    }

    /// Reads several streams, each from the offset given with it.
    pub async fn read(&self, cursors: &[(StreamId, u64)]) -> Result<ReadReply, LogError> {
        let response = self.post("/v1/read", encode_read(cursors)).await?;
        decode_read_reply(&response).map_err(|err| LogError::InvalidResponse(err.to_string()))
    }

    async fn post(&self, path: &str, body: Vec<u8>) -> Result<Bytes, LogError> {
        let uri = format!("http://{}{path}", self.addr);
        let request = self
            .client
            .request(Method::POST, uri)
            .header("host", self.addr.to_string())
            .body(Full::new(Bytes::from(body)));
        let exchange = async {
            let response = request.send().await.map_err(|err| {
                if is_connect_error(&err) { LogError::NotConnected } else { LogError::NoResponse }
            })?;
            let status = response.status();
            if !status.is_success() {
                return Err(LogError::ErrorStatus(status.as_u16()));
            }
            read_body(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|_| LogError::NoResponse)
        };
        timeout(self.timeout, exchange).await.unwrap_or(Err(LogError::NoResponse))
    }
}

//! The platform log over HTTP.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use http_body_util::Full;
use poplartrail_core::{engine::StreamId, time::WallTime};
use poplartrail_wire::{
    generated::LogAppended,
    log::{Pages, decode_pages, encode_read, stream_name},
};
use prost::Message;
use quick_error::quick_error;
use tokio::time::timeout;

use crate::{HttpClient, build_client, is_connect_error, read_body};

/// Idle connections to the log.
const MAX_IDLE: usize = 2;
/// Largest answer to a read.
const MAX_ANSWER: usize = 16 << 20;

quick_error! {
    /// A request to the log that brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LogError {
        /// No connection could be opened; nothing was appended.
        NotConnected {
            display("the platform log cannot be reached: check platform.addr and that it runs")
        }
        /// No answer came; an append may have taken effect.
        NoResponse {
            display("the platform log did not answer: read it back before you append again")
        }
        /// The log refused the request; nothing was appended.
        ErrorStatus(status: u16) {
            display("the platform log refused the request with status {}: look at its own log", status)
        }
        /// The answer could not be understood.
        InvalidResponse(why: String) {
            display("the platform log's answer was not understood ({}): check platform.addr", why)
        }
    }
}

/// What the log says of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Appended {
    /// Position of the record.
    pub offset: u64,
    /// The log's timestamp.
    pub at: WallTime,
}

/// A client of the platform log.
pub struct LogClient {
    client: HttpClient,
    addr: SocketAddr,
    timeout: Duration,
}

impl LogClient {
    /// A client of the log at `addr` that waits for at most `timeout`.
    pub fn new(addr: SocketAddr, timeout: Duration) -> Result<Self, LogError> {
        let client =
            build_client(MAX_IDLE).map_err(|err| LogError::InvalidResponse(err.to_string()))?;
        Ok(Self { client, addr, timeout })
    }

    /// Appends one record.
    pub async fn append(&self, stream: &StreamId, body: Vec<u8>) -> Result<Appended, LogError> {
        let path = format!("/v1/streams/{}", stream_name(stream));
        let answer = self.post(&path, body).await?;
        let answer = LogAppended::decode(answer);
        let answer = answer.map_err(|err| LogError::InvalidResponse(err.to_string()))?;
        Ok(Appended { offset: answer.offset, at: WallTime::from_millis(answer.at_ms) })
    }

    /// Reads several streams from their next offsets.
    pub async fn read(&self, cursors: &[(StreamId, u64)]) -> Result<Pages, LogError> {
        let answer = self.post("/v1/read", encode_read(cursors)).await?;
        decode_pages(&answer).map_err(|err| LogError::InvalidResponse(err.to_string()))
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
            read_body(response.into_body(), MAX_ANSWER).await.map_err(|_| LogError::NoResponse)
        };
        timeout(self.timeout, exchange).await.unwrap_or(Err(LogError::NoResponse))
    }
}

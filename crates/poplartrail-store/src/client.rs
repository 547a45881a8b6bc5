//! Calls to the store, one at a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use metrics::counter;
use poplartrail_http::h1::{ClientConnection, ClientOptions, ExchangeError, encode_request};
use poplartrail_platform::store::{KeyedRecord, StoreCall, decode_newest, newest_call};
use tokio::time::timeout;

use crate::StoreError;

/// Time within which the store must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two probes of a connection on which an answer is awaited, so that one that has
/// gone silent is replaced soon after a disturbance has ended. The kernel counts whole seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest answer; the store sends at most a mebibyte, and JSON of as much again.
const MAX_BODY_BYTES: usize = 8 << 20;

/// The newest record of each key of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// Offset from which on the topic is to be read for what was written meanwhile.
    pub next_offset: u64,
}

/// A client with one connection, which is replaced after any failure.
#[derive(Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    connection: Option<ClientConnection>,
}

impl StoreClient {
    /// A client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None }
    }

    /// Reads the newest record of each key of `topic`, each page within `within`.
    ///
    /// # Errors
    ///
    /// The store did not answer, or not in its form. A topic to which nobody has written yet is
    /// empty.
    pub async fn newest_records(
        &mut self,
        topic: &str,
        within: Duration,
    ) -> Result<NewestRecords, StoreError> {
        let mut all: Option<NewestRecords> = None;
        let mut after = None;
        loop {
            let page = match self.call(&newest_call(topic, after.as_deref()), within).await {
                Err(StoreError::Refused(StatusCode::NOT_FOUND)) => {
                    return Ok(NewestRecords::default());
                }
                result => decode_newest(&result?)?,
            };
            // Pages are no snapshot: what is written meanwhile is read again from the first end.
            let all =
                all.get_or_insert(NewestRecords { records: Vec::new(), next_offset: page.end });
            all.records.extend(page.records);
            match page.after {
                Some(key) => after = Some(key),
                None => return Ok(std::mem::take(all)),
            }
        }
    }

    /// Makes a call that must be answered within `within`.
    ///
    /// # Errors
    ///
    /// The store refused, or did not answer, in which case the call may have taken effect.
    pub async fn call(&mut self, call: &StoreCall, within: Duration) -> Result<Bytes, StoreError> {
        counter!("poplartrail_store_calls_total").increment(1);
        let result = timeout(within, self.exchange(call)).await;
        let result = result.unwrap_or_else(|_| {
            Err(StoreError::Unanswered(format!("for {} ms", within.as_millis())))
        });
        if result.is_err() {
            // A connection on which an answer was lost returns nothing further.
            self.connection = None;
            counter!("poplartrail_store_failures_total").increment(1);
        }
        result
    }

    async fn exchange(&mut self, call: &StoreCall) -> Result<Bytes, StoreError> {
        let mut headers = HeaderMap::new();
        if let Ok(host) = HeaderValue::from_str(&self.addr.to_string()) {
            headers.insert(header::HOST, host);
        }
        let bytes = encode_request(&call.method, &call.target, &headers, &call.body);
        let mut connection = match self.connection.take().filter(ClientConnection::is_reusable) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let answer = connection.exchange(&call.method, &bytes, |_| true).await?;
        self.connection = Some(connection);
        if answer.status.is_success() {
            Ok(answer.body)
        } else {
            Err(StoreError::Refused(answer.status))
        }
    }

    async fn open(&self) -> Result<ClientConnection, ExchangeError> {
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
        };
        ClientConnection::connect(self.addr, options).await
    }
}

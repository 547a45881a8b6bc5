//! Client that makes calls to the store, one at a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use metrics::counter;
use poplartrail_http::{
    ByteBudget,
    h1::{ClientConnection, ClientOptions, ExchangeError, encode_request},
};
use poplartrail_platform::store::{KeyedRecord, StoreCall, decode_era, decode_newest, newest_call};
use tokio::time::timeout;

use crate::StoreError;

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the keepalive probes on a connection that waits for a response, so that one that
/// has gone silent is replaced soon after a network fault has ended. The kernel counts in whole
/// seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum size of the head of a response.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Maximum size of the body of a response. The store sends at most 1 MiB, and as much again in
/// JSON.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Newest record of each key of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestRecords {
    /// Records, one for each key.
    pub records: Vec<KeyedRecord>,
    /// Offset from which to read records that were appended in the meantime.
    pub next_offset: u64,
}

/// Client with one connection, which is replaced after any failure.
#[derive(Debug)]
pub struct StoreClient {
    addr: SocketAddr,
    connection: Option<ClientConnection>,
    era: Option<u64>,
}

impl StoreClient {
    /// Creates a client of the store at `addr`; it connects with the first call.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None, era: None }
    }

    /// Returns the era of the store, as its last response that has one states it. The store enters a
    /// new era when it comes back from a copy: what was written since the copy is gone, and offsets
    /// are given out again.
    pub fn era(&self) -> Option<u64> {
        self.era
    }

    /// Reads the newest record of each key of `topic`; each page must arrive within `max_wait`.
    ///
    /// # Errors
    ///
    /// The store refused a call, or its response was missing or malformed. A topic to which nobody
    /// has appended yet counts as empty.
    pub async fn newest_records(
        &mut self,
        topic: &str,
        max_wait: Duration,
    ) -> Result<NewestRecords, StoreError> {
        let mut all: Option<NewestRecords> = None;
        let mut after_key = None;
        let mut era = self.era;
        loop {
            let page = match self.call(&newest_call(topic, after_key.as_deref()), max_wait).await {
                Err(StoreError::Refused(StatusCode::NOT_FOUND)) => {
                    return Ok(NewestRecords::default());
                }
                result => decode_newest(&result?)?,
            };
            // A page from before the store came back from a copy says nothing of its present content.
            let is_first_page = after_key.is_none();
            if std::mem::replace(&mut era, self.era) != self.era && !is_first_page {
                all = None;
                after_key = None;
                continue;
            }
            // Pages do not form a snapshot: records appended in between are read again from the
            // end of the first page.
            let all = all
                .get_or_insert(NewestRecords { records: Vec::new(), next_offset: page.end_offset });
            all.records.extend(page.records);
            match page.after {
                Some(key) => after_key = Some(key),
                None => return Ok(std::mem::take(all)),
            }
        }
    }

    /// Makes a call whose response must arrive within `max_wait`.
    ///
    /// # Errors
    ///
    /// The store refused the call, or did not respond; without a response, the call may have taken
    /// effect.
    pub async fn call(
        &mut self,
        call: &StoreCall,
        max_wait: Duration,
    ) -> Result<Bytes, StoreError> {
        counter!("poplartrail_store_calls_total").increment(1);
        let result = timeout(max_wait, self.exchange(call)).await;
        let result = result.unwrap_or_else(|_| {
            Err(StoreError::Unanswered(format!("for {} ms", max_wait.as_millis())))
        });
        if result.is_err() {
            // A connection on which a response was lost returns nothing further.
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
        let bytes = encode_request(&call.method, &call.target, &headers, call.body.clone());
        let mut connection = match self.connection.take().filter(ClientConnection::is_reusable) {
            Some(connection) => connection,
            None => self.open().await?,
        };
        let response = connection.exchange(&call.method, &bytes, |_| true).await?;
        self.connection = Some(connection);
        self.era = decode_era(&response.headers).or(self.era);
        if response.status.is_success() {
            Ok(response.body)
        } else {
            Err(StoreError::Refused(response.status))
        }
    }

    async fn open(&self) -> Result<ClientConnection, ExchangeError> {
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE_INTERVAL,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
            body_budget: ByteBudget::new(MAX_BODY_BYTES),
        };
        ClientConnection::connect(self.addr, options).await
    }
}

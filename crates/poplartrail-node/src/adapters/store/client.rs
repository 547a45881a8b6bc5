//! Calls to the store, one at a time.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, StatusCode, header};
use metrics::counter;
use poplartrail_http::h1::{ClientConnection, ClientOptions, ExchangeError, write_request};
use poplartrail_platform::store::StoreCall;
use quick_error::quick_error;
use tokio::time::timeout;

/// Time within which the store must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two probes of a connection on which an answer is awaited, so that one that has
/// gone silent is replaced soon after a disturbance has ended. The kernel counts whole seconds.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest answer; the store sends at most a mebibyte, and JSON of as much again.
const MAX_BODY_BYTES: usize = 8 << 20;

quick_error! {
    /// A call without a useful answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The store could not be reached or did not answer; the call may have taken effect.
        Unanswered(why: String) {
            display("the store did not answer ({})", why)
        }
        /// The store refused.
        Refused(status: StatusCode) {
            display("the store refused with {}", status)
        }
        /// The answer does not have the platform's form.
        Format(err: poplartrail_platform::FormatError) {
            from()
            display("{}", err)
        }
    }
}

impl From<ExchangeError> for StoreError {
    fn from(err: ExchangeError) -> Self {
        StoreError::Unanswered(err.to_string())
    }
}

/// A client with one connection, which is replaced after any failure.
#[derive(Debug)]
pub(crate) struct StoreClient {
    addr: SocketAddr,
    connection: Option<ClientConnection>,
}

impl StoreClient {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self { addr, connection: None }
    }

    /// Makes a call that must be answered within `within`.
    pub(crate) async fn call(
        &mut self,
        call: &StoreCall,
        within: Duration,
    ) -> Result<Bytes, StoreError> {
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
        let bytes = write_request(&call.method, &call.target, &headers, &call.body);
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
            keepalive: KEEPALIVE,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: MAX_BODY_BYTES,
        };
        ClientConnection::open(self.addr, options).await
    }
}

//! Dispatch of calls to the upstream in hosted mode, over a separate connection pool.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use metrics::counter;
use poplartrail_core::{
    call::{Answer, Context, Payload},
    engine::{CallKey, UpstreamFault},
    names::InstanceName,
};
use poplartrail_http::h1::{ClientConnection, ClientOptions, ExchangeError, encode_request};
use poplartrail_platform::{decode_answer, encode_dispatch, is_answer_to};

use crate::{adapters::upstream::Dispatch, ports::Clock};

/// Time limit for connecting to the upstream, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the TCP keepalive probes on a silent connection. It is short because the upstream
/// runs on the same VM.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size limit of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Parameters of the upstream thread in hosted mode.
#[derive(Debug, Clone)]
pub struct HostedUpstreamOptions<C> {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Size limit of the body of an answer, in bytes.
    pub max_body_bytes: usize,
    /// Source of the current time.
    pub clock: C,
}

/// Sends calls to the upstream in the platform's format.
#[derive(Clone)]
pub(crate) struct HostedDispatcher<C> {
    options: Arc<HostedUpstreamOptions<C>>,
    /// Idle connections. The most recently used one is last and is reused first, so that surplus
    /// ones reach their idle timeout.
    idle: Arc<Mutex<Vec<ClientConnection>>>,
}

impl<C: Clock + Sync> HostedDispatcher<C> {
    pub(crate) fn new(options: HostedUpstreamOptions<C>) -> Self {
        Self { options: Arc::new(options), idle: Arc::default() }
    }

    async fn connection(&self) -> Result<ClientConnection, ExchangeError> {
        if let Some(connection) = self.pop_idle() {
            return Ok(connection);
        }
        counter!("poplartrail_upstream_connections_total").increment(1);
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE_INTERVAL,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: self.options.max_body_bytes,
        };
        ClientConnection::connect(self.options.addr, options).await
    }

    fn pop_idle(&self) -> Option<ClientConnection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn push_idle(&self, connection: ClientConnection) {
        let mut idle = self.lock();
        if connection.is_reusable() && idle.len() < self.options.max_idle {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ClientConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock + Sync> Dispatch for HostedDispatcher<C> {
    async fn dispatch(
        &self,
        _call: CallKey,
        context: &Context,
        instance: Option<&InstanceName>,
        payload: Payload,
    ) -> Result<Answer, UpstreamFault> {
        let request_id = context.request_id;
        let mut connection = self.connection().await.map_err(|err| {
            spdlog::warn!("cannot connect to the upstream: {err}", kv: { request = request_id.to_string().as_str() });
            UpstreamFault::NotConnected
        })?;
        let now = self.options.clock.now();
        let head = encode_dispatch(now, context, instance, &payload);
        let (method, headers) = head.ok_or(UpstreamFault::NotConnected)?;
        let bytes = encode_request(&method, &payload.target, &headers, &payload.body);
        let answer = connection.exchange(&method, &bytes, |head| is_answer_to(&payload, head)).await.map_err(|err| {
            spdlog::warn!("answer of the upstream lost: {err}", kv: { request = request_id.to_string().as_str() });
            UpstreamFault::Lost
        })?;
        self.push_idle(connection);
        decode_answer(answer)
    }
}

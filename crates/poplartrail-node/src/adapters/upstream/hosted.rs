//! Calls to an upstream that the platform runs, over connections that this module owns.

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

/// Time within which the upstream on the same VM must take a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two probes of a silent connection; the upstream is on the same VM.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Largest head of an answer.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Parameters of the calls to an upstream that the platform runs.
#[derive(Debug, Clone)]
pub struct HostedUpstreamOptions<C> {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Idle connections that are kept.
    pub max_idle: usize,
    /// Largest body of an answer.
    pub max_body_bytes: usize,
    /// The time.
    pub clock: C,
}

/// Sends calls to the upstream.
#[derive(Clone)]
pub(crate) struct DirectDispatcher<C> {
    options: Arc<HostedUpstreamOptions<C>>,
    /// Idle connections, the one used last at the end, so that surplus ones grow old.
    idle: Arc<Mutex<Vec<ClientConnection>>>,
}

impl<C: Clock + Sync> DirectDispatcher<C> {
    pub(crate) fn new(options: HostedUpstreamOptions<C>) -> Self {
        Self { options: Arc::new(options), idle: Arc::default() }
    }

    async fn connection(&self) -> Result<ClientConnection, ExchangeError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        counter!("poplartrail_upstream_connections_total").increment(1);
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: self.options.max_body_bytes,
        };
        ClientConnection::connect(self.options.addr, options).await
    }

    fn take_idle(&self) -> Option<ClientConnection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if connection.is_reusable() {
                return Some(connection);
            }
        }
        None
    }

    fn put_back(&self, connection: ClientConnection) {
        let mut idle = self.lock();
        if connection.is_reusable() && idle.len() < self.options.max_idle {
            idle.push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ClientConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Clock + Sync> Dispatch for DirectDispatcher<C> {
    async fn dispatch(
        &self,
        _call: CallKey,
        context: &Context,
        instance: Option<&InstanceName>,
        payload: Payload,
    ) -> Result<Answer, UpstreamFault> {
        let request = context.request_id;
        let mut connection = self.connection().await.map_err(|err| {
            spdlog::warn!("upstream not reached: {err}", kv: { request = request.to_string().as_str() });
            UpstreamFault::NotConnected
        })?;
        let now = self.options.clock.now();
        let head = encode_dispatch(now, context, instance, &payload);
        let (method, headers) = head.ok_or(UpstreamFault::NotConnected)?;
        let bytes = encode_request(&method, &payload.target, &headers, &payload.body);
        let answer = connection
            .exchange(&method, &bytes, |head| is_answer_to(&payload, head))
            .await
            .map_err(|err| {
                spdlog::warn!("answer of the upstream lost: {err}", kv: { request = request.to_string().as_str() });
                UpstreamFault::Lost
            })?;
        self.put_back(connection);
        decode_answer(answer)
    }
}

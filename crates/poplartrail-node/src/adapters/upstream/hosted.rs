//! Dispatch of calls to the upstream in hosted mode, over a separate connection pool.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use metrics::counter;
use poplartrail_core::{
    call::{Context, Payload, RequestId},
    engine::{CallKey, UpstreamFault},
    names::InstanceName,
};
use poplartrail_http::{
    ByteBudget,
    h1::{ClientConnection, ClientOptions, ExchangeError, ResponseHead, encode_request},
};
use poplartrail_platform::{decode_answer, decode_notice, encode_dispatch, is_answer_to};

use crate::{
    adapters::upstream::{Dispatch, DispatchEnd},
    ports::Clock,
};

/// Time limit for connecting to the upstream, which runs on the same VM.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the TCP keepalive probes on a silent connection. It is short because the upstream
/// runs on the same VM.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Size limit of the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Number of refused requests after which a connection is not reused.
const MAX_REFUSALS: usize = 32;

/// Parameters of the upstream thread in hosted mode.
#[derive(Debug, Clone)]
pub struct HostedUpstreamOptions<C> {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Size limit of the body of an answer, in bytes.
    pub max_body_bytes: usize,
    /// Limit on the bytes of all answers until they have been sent on. It is what bounds the memory
    /// that slow callers take, or a faulty upstream that sends bytes without end to several calls.
    pub answer_budget: ByteBudget,
    /// Source of the current time.
    pub clock: C,
}

/// A connection to the upstream and the requests that the upstream has refused on it.
///
/// A faulty upstream may write a refusal once more. Its identity tells it from the answer to another
/// request, but not from the answer to the same request when that is tried again. So a request is
/// not sent over a connection on which it was refused.
struct PooledConnection {
    connection: ClientConnection,
    refused: Vec<RequestId>,
}

impl PooledConnection {
    fn is_reusable(&self) -> bool {
        self.refused.len() < MAX_REFUSALS && self.connection.is_reusable()
    }
}

/// Sends calls to the upstream in the platform's format.
#[derive(Clone)]
pub(crate) struct HostedDispatcher<C> {
    options: Arc<HostedUpstreamOptions<C>>,
    /// Idle connections. The most recently used one is last and is reused first, so that surplus
    /// ones reach their idle timeout.
    idle: Arc<Mutex<Vec<PooledConnection>>>,
}

impl<C: Clock + Sync> HostedDispatcher<C> {
    pub(crate) fn new(options: HostedUpstreamOptions<C>) -> Self {
        Self { options: Arc::new(options), idle: Arc::default() }
    }

    /// Returns an idle connection on which `request_id` has not been refused, or opens one.
    async fn connection(&self, request_id: RequestId) -> Result<PooledConnection, ExchangeError> {
        if let Some(pooled) = self.pop_idle(request_id) {
            return Ok(pooled);
        }
        counter!("poplartrail_upstream_connections_total").increment(1);
        let options = ClientOptions {
            connect_timeout: CONNECT_TIMEOUT,
            keepalive_interval: KEEPALIVE_INTERVAL,
            max_head_bytes: MAX_HEAD_BYTES,
            max_body_bytes: self.options.max_body_bytes,
            body_budget: self.options.answer_budget.clone(),
        };
        let connection = ClientConnection::connect(self.options.addr, options).await?;
        Ok(PooledConnection { connection, refused: Vec::new() })
    }

    fn pop_idle(&self, request_id: RequestId) -> Option<PooledConnection> {
        let mut idle = self.lock();
        let is_suitable = |pooled: &PooledConnection| !pooled.refused.contains(&request_id);
        while let Some(at) = idle.iter().rposition(is_suitable) {
            let pooled = idle.remove(at);
            if pooled.is_reusable() {
                return Some(pooled);
            }
        }
        None
    }

    fn push_idle(&self, pooled: PooledConnection) {
        let mut idle = self.lock();
        if pooled.is_reusable() && idle.len() < self.options.max_idle {
            idle.push(pooled);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PooledConnection>> {
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
    ) -> DispatchEnd {
        let request_id = context.request_id;
        let mut pooled = match self.connection(request_id).await {
            Ok(pooled) => pooled,
            Err(err) => {
                spdlog::warn!("cannot connect to the upstream: {err}", kv: { request = request_id.to_string().as_str() });
                return UpstreamFault::NotConnected.into();
            }
        };
        let now = self.options.clock.now();
        let Some((method, headers)) = encode_dispatch(now, context, instance, &payload) else {
            return UpstreamFault::NotConnected.into();
        };
        let bytes = encode_request(&method, &payload.target, &headers, payload.body.clone());
        let is_answer = |head: &ResponseHead| is_answer_to(&payload, head);
        let answer = match pooled.connection.exchange(&method, &bytes, is_answer).await {
            Ok(answer) => answer,
            Err(err) => {
                spdlog::warn!("answer of the upstream lost: {err}", kv: { request = request_id.to_string().as_str() });
                return UpstreamFault::Lost.into();
            }
        };
        let notice = decode_notice(&answer);
        let result = decode_answer(answer);
        if matches!(result, Err(UpstreamFault::Rejected)) {
            pooled.refused.push(request_id);
        }
        self.push_idle(pooled);
        DispatchEnd { result, notice }
    }
}

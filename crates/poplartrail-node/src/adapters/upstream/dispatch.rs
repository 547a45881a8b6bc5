//! Dispatch of calls to the upstream over a pooled HTTP client.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, header};
use http_body_util::Full;
use poplartrail_core::{
    call::{Answer, Context, Field, Payload},
    engine::{CallKey, UpstreamFault},
    names::InstanceName,
};

use poplartrail_http::{
    BufferedBody, HttpClient, add_fields, end_to_end_fields, is_connect_error, read_body,
};

use crate::{
    adapters::{
        ingress::fields::{
            CONTEXT_FIELD, DEADLINE_FIELD, RANK_FIELD, REQUEST_ID_FIELD, encode_context,
        },
        upstream::{Dispatch, DispatchEnd, UpstreamOptions},
    },
    ports::Clock,
};

/// Sends calls to the upstream and states the context of each in header fields.
#[derive(Clone)]
pub(crate) struct Dispatcher<C> {
    client: Arc<HttpClient>,
    options: Arc<UpstreamOptions<C>>,
}

impl<C: Clock> Dispatcher<C> {
    pub(crate) fn new(client: HttpClient, options: UpstreamOptions<C>) -> Self {
        Self { client: Arc::new(client), options: Arc::new(options) }
    }

    /// Builds the HTTP request for the upstream. Returns `None` if the call is not valid HTTP.
    fn request(
        &self,
        call: CallKey,
        context: &Context,
        payload: Payload,
    ) -> Option<Request<BufferedBody>> {
        let method = Method::from_bytes(payload.method.as_bytes()).ok()?;
        let mut request = Request::builder()
            .method(method)
            .uri(&*payload.target)
            .body(Full::new(payload.body))
            .ok()?;
        let headers = request.headers_mut();
        add_fields(headers, &payload.fields);
        self.add_context_fields(headers, call, context)?;
        Some(request)
    }

    fn add_context_fields(
        &self,
        headers: &mut HeaderMap,
        call: CallKey,
        context: &Context,
    ) -> Option<()> {
        let time_left = context.deadline.since(self.options.clock.now());
        let request_id = uuid::Uuid::from_u128(context.request_id.0).to_string();
        headers.insert(CONTEXT_FIELD, header_value(&encode_context(call))?);
        headers.insert(REQUEST_ID_FIELD, header_value(&request_id)?);
        headers.insert(RANK_FIELD, header_value(context.rank.as_str())?);
        headers.insert(DEADLINE_FIELD, HeaderValue::from(time_left.as_millis() as u64));
        headers.append(header::VIA, header_value(&format!("1.1 {}", self.options.vm))?);
        if !headers.contains_key(header::HOST) {
            headers.insert(header::HOST, header_value(&self.options.addr.to_string())?);
        }
        Some(())
    }

    async fn exchange(
        &self,
        call: CallKey,
        context: &Context,
        payload: Payload,
    ) -> Result<Answer, UpstreamFault> {
        let is_head = &*payload.method == "HEAD";
        let request = self.request(call, context, payload).ok_or(UpstreamFault::NotConnected)?;
        let (parts, body) = request.into_parts();
        let method = parts.method.clone();
        let target = format!("http://{}{}", self.options.addr, parts.uri);
        let mut builder = self.client.request(method, target);
        *builder.headers_mut() = parts.headers;
        let response = builder.body(body).send().await.map_err(|err| {
            if is_connect_error(&err) { UpstreamFault::NotConnected } else { UpstreamFault::Lost }
        })?;
        let (parts, body) = response.into_parts();
        if !(100..600).contains(&parts.status.as_u16()) {
            return Err(UpstreamFault::Lost);
        }
        let mut fields = end_to_end_fields(&parts.headers);
        if is_head {
            fields.extend(content_length_field(&parts.headers));
        }
        let body = read_body(body, self.options.max_body_bytes).await;
        let body = body.map_err(|_| UpstreamFault::Lost)?;
        Ok(Answer { status: parts.status.as_u16(), fields, body })
    }
}

impl<C: Clock + Sync> Dispatch for Dispatcher<C> {
    async fn dispatch(
        &self,
        call: CallKey,
        context: &Context,
        _instance: Option<&InstanceName>,
        payload: Payload,
    ) -> DispatchEnd {
        DispatchEnd { result: self.exchange(call, context, payload).await, notice: None }
    }
}

fn header_value(text: &str) -> Option<HeaderValue> {
    HeaderValue::from_str(text).ok()
}

/// Returns the `Content-Length` field, which an answer to `HEAD` states for the body that it omits.
fn content_length_field(headers: &HeaderMap) -> Option<Field> {
    let value = headers.get(header::CONTENT_LENGTH)?;
    let value = Bytes::copy_from_slice(value.as_bytes());
    Some(Field { name: Arc::from(header::CONTENT_LENGTH.as_str()), value })
}

//! Main loop of the upstream thread.

use std::{collections::HashMap, net::SocketAddr};

use poplartrail_core::{
    call::{Answer, Context, Payload},
    engine::{CallKey, Input, UpstreamFault},
    names::{InstanceName, VmName},
    upstream::UpstreamNotice,
};
use poplartrail_http::build_client;
use tokio::task::{AbortHandle, JoinSet};

use crate::{
    adapters::{
        block_on,
        upstream::{
            dispatch::Dispatcher,
            hosted::{HostedDispatcher, HostedUpstreamOptions},
        },
    },
    ports::{Clock, DecideMessage, RingReceiver, RingSender, UpstreamMessage},
};

/// Parameters of the upstream thread.
#[derive(Debug, Clone)]
pub struct UpstreamOptions<C> {
    /// VM of this node, stated in the `Via` field.
    pub vm: VmName,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Maximum number of idle connections.
    pub max_idle: usize,
    /// Size limit of the body of an answer, in bytes.
    pub max_body_bytes: usize,
    /// Source of the current time.
    pub clock: C,
}

/// End of a call at the upstream.
#[derive(Debug)]
pub(crate) struct DispatchEnd {
    /// Whole answer, or the reason why there is none.
    pub(crate) result: Result<Answer, UpstreamFault>,
    /// What the upstream says of itself; `None` if no answer of its own arrived.
    pub(crate) notice: Option<UpstreamNotice>,
}

impl From<UpstreamFault> for DispatchEnd {
    fn from(fault: UpstreamFault) -> Self {
        Self { result: Err(fault), notice: None }
    }
}

/// Sends calls to the upstream.
pub(crate) trait Dispatch: Clone + Send + Sync + 'static {
    /// Sends a call and waits for its whole answer. Dropping the future cancels the call.
    fn dispatch(
        &self,
        call: CallKey,
        context: &Context,
        instance: Option<&InstanceName>,
        payload: Payload,
    ) -> impl Future<Output = DispatchEnd> + Send;
}

/// Dispatches calls to the upstream until `inbox` is closed.
pub fn run<C: Clock + Sync>(
    options: UpstreamOptions<C>,
    inbox: &RingReceiver<UpstreamMessage>,
    decide: &RingSender<DecideMessage>,
) {
    let client = match build_client(options.max_idle) {
        Ok(client) => client,
        Err(err) => return spdlog::critical!("cannot create the upstream client: {err}"),
    };
    block_on(dispatch_calls(Dispatcher::new(client, options), inbox, decide));
}

/// Dispatches calls to the upstream in hosted mode until `inbox` is closed.
pub fn run_hosted<C: Clock + Sync>(
    options: HostedUpstreamOptions<C>,
    inbox: &RingReceiver<UpstreamMessage>,
    decide: &RingSender<DecideMessage>,
) {
    block_on(dispatch_calls(HostedDispatcher::new(options), inbox, decide));
}

async fn dispatch_calls(
    dispatcher: impl Dispatch,
    inbox: &RingReceiver<UpstreamMessage>,
    decide: &RingSender<DecideMessage>,
) {
    let mut tasks = Tasks::default();
    while let Some(message) = inbox.recv().await {
        match message {
            UpstreamMessage::Dispatch { call, context, instance, payload } => {
                let (dispatcher, decide) = (dispatcher.clone(), decide.clone());
                tasks.spawn(call, async move {
                    let end = dispatcher.dispatch(call, &context, instance.as_ref(), payload);
                    let DispatchEnd { result, notice } = end.await;
                    let input = Input::UpstreamDone { call, result, notice };
                    decide.send(DecideMessage::Input(input)).await;
                });
            }
            UpstreamMessage::Cancel(call) => tasks.cancel(call),
        }
    }
}

/// Tasks of the calls in progress, with handles to cancel them.
#[derive(Debug, Default)]
struct Tasks {
    tasks: JoinSet<()>,
    abort_handles: HashMap<CallKey, AbortHandle>,
}

/// Number of abort handles beyond twice the running calls at which those of finished calls are
/// removed.
const PRUNE_THRESHOLD: usize = 1024;

impl Tasks {
    fn spawn(&mut self, call: CallKey, task: impl Future<Output = ()> + Send + 'static) {
        while self.tasks.try_join_next().is_some() {}
        if self.abort_handles.len() >= PRUNE_THRESHOLD + 2 * self.tasks.len() {
            self.abort_handles.retain(|_, handle| !handle.is_finished());
        }
        let handle = self.tasks.spawn(task);
        self.abort_handles.insert(call, handle);
    }

    /// Drops the request of a call, which closes the call's connection to the upstream.
    fn cancel(&mut self, call: CallKey) {
        if let Some(handle) = self.abort_handles.remove(&call) {
            handle.abort();
        }
    }
}

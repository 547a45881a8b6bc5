//! The loop of the upstream thread.

use std::{collections::HashMap, net::SocketAddr};

use poplartrail_core::{
    call::{Answer, Context, Payload},
    engine::{CallKey, Input, UpstreamFault},
    names::{InstanceName, VmName},
};
use poplartrail_http::build_client;
use tokio::task::{AbortHandle, JoinSet};

use crate::{
    adapters::{
        block_on,
        upstream::{
            dispatch::Dispatcher,
            hosted::{DirectDispatcher, HostedUpstreamOptions},
        },
    },
    ports::{Clock, DecideMessage, RingReceiver, RingSender, UpstreamMessage},
};

/// Parameters of the upstream thread.
#[derive(Debug, Clone)]
pub struct UpstreamOptions<C> {
    /// VM of the node, for the field that names the hops.
    pub vm: VmName,
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Idle connections that are kept.
    pub max_idle: usize,
    /// Largest body of an answer.
    pub max_body_bytes: usize,
    /// The time.
    pub clock: C,
}

/// A way to send calls to the upstream.
pub(crate) trait Dispatch: Clone + Send + Sync + 'static {
    /// Sends a call and reads its whole answer. Dropping the future breaks the call off.
    fn dispatch(
        &self,
        call: CallKey,
        context: &Context,
        instance: Option<&InstanceName>,
        payload: Payload,
    ) -> impl Future<Output = Result<Answer, UpstreamFault>> + Send;
}

/// Carries calls to the upstream until the ring is closed.
pub fn run<C: Clock + Sync>(
    options: UpstreamOptions<C>,
    inbox: &RingReceiver<UpstreamMessage>,
    decide: &RingSender<DecideMessage>,
) {
    let client = match build_client(options.max_idle) {
        Ok(client) => client,
        Err(err) => return spdlog::critical!("no client for the upstream: {err}"),
    };
    block_on(carry(Dispatcher::new(client, options), inbox, decide));
}

/// Carries calls to an upstream that the platform runs, until the ring is closed.
pub fn run_hosted<C: Clock + Sync>(
    options: HostedUpstreamOptions<C>,
    inbox: &RingReceiver<UpstreamMessage>,
    decide: &RingSender<DecideMessage>,
) {
    block_on(carry(DirectDispatcher::new(options), inbox, decide));
}

async fn carry(
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
                    let dispatched =
                        dispatcher.dispatch(call, &context, instance.as_ref(), payload);
                    let result = dispatched.await;
                    let done = Input::UpstreamDone { call, result };
                    decide.send(DecideMessage::Input(done)).await;
                });
            }
            UpstreamMessage::Cancel(call) => tasks.cancel(call),
        }
    }
}

/// Running calls, so that they can be cancelled.
#[derive(Debug, Default)]
struct Tasks {
    set: JoinSet<()>,
    handles: HashMap<CallKey, AbortHandle>,
}

/// Finished calls after which the handles are looked through.
const SWEEP_LEN: usize = 1024;

impl Tasks {
    fn spawn(&mut self, call: CallKey, task: impl Future<Output = ()> + Send + 'static) {
        while self.set.try_join_next().is_some() {}
        if self.handles.len() >= SWEEP_LEN + 2 * self.set.len() {
            self.handles.retain(|_, handle| !handle.is_finished());
        }
        let handle = self.set.spawn(task);
        self.handles.insert(call, handle);
    }

    /// Drops the call's request, which closes its connection to the upstream.
    fn cancel(&mut self, call: CallKey) {
        if let Some(handle) = self.handles.remove(&call) {
            handle.abort();
        }
    }
}

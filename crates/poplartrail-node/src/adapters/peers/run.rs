//! Main loop of the peers thread.

use std::{
    collections::HashMap,
    net::{SocketAddr, UdpSocket},
    sync::Arc,
    time::Duration,
};

use poplartrail_core::{
    engine::{CallKey, Input, ReplyPort},
    member::MemberRecord,
    names::VmName,
};
use poplartrail_wire::{PeerMessage, call};
use quinn::{
    ClientConfig, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
};
use quinn_proto::RandomConnectionIdGenerator;
use tokio::{sync::watch, task::AbortHandle, time::timeout};

use crate::{
    adapters::{
        block_on,
        budgets::ByteBudgets,
        peers::{
            PeersTls,
            dial::Dialer,
            receive::{PeerCallReply, PeerRequestHandler},
            send::{self, ReplyLimits},
        },
        pending::PendingReplies,
        unsent::UnsentReplies,
    },
    ports::{Clock, DecideMessage, PeersMessage, RingReceiver, RingSender},
};

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Round-trip time assumed until one has been measured. It is short, so that a lost first packet is
/// soon sent again: nodes of one region answer within a few milliseconds.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Maximum number of concurrent calls from another node on one connection. Both ends reserve memory
/// for all of them when the connection opens: about 100 bytes each.
const MAX_STREAMS: u32 = 512;
/// Time limit for telling other nodes that the connections close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of abort handles at which those of finished calls are removed.
const PRUNE_THRESHOLD: usize = 1024;

/// Parameters of the peers thread.
#[derive(Clone)]
pub struct PeersOptions<C> {
    /// VM of this node, which it states as the sender of its messages.
    pub vm: VmName,
    /// Address to listen on for other nodes.
    pub listen: SocketAddr,
    /// TLS configuration for both directions.
    pub tls: PeersTls,
    /// Size limit of a message, in bytes.
    pub max_message_bytes: usize,
    /// Limits on the bytes of all messages.
    pub budgets: ByteBudgets,
    /// Maximum number of calls from other nodes that wait for a reply.
    pub max_pending: usize,
    /// Lower bound of the time without acknowledgements after which a connection counts as silent.
    pub min_silence: Duration,
    /// Counts the replies that other nodes have not received.
    pub unsent: UnsentReplies,
    /// Whether the process has been asked to stop. A reply then counts as unsent until the other
    /// node has acknowledged it.
    pub shutting_down: watch::Receiver<bool>,
    /// Source of the current time.
    pub clock: C,
}

/// Exchanges messages with other nodes until `inbox` is closed or `exiting` becomes true.
pub fn run<C: Clock + Sync>(
    options: PeersOptions<C>,
    inbox: &RingReceiver<PeersMessage>,
    decide: &RingSender<DecideMessage>,
    mut exiting: watch::Receiver<bool>,
) {
    block_on(async move {
        let endpoint = match endpoint(&options) {
            Ok(endpoint) => endpoint,
            Err(err) => {
                spdlog::critical!("cannot listen on {}: {err}; choose a free port", options.listen);
                std::process::exit(1);
            }
        };
        let pending = PendingReplies::new(ReplyPort::Peers, options.max_pending);
        let handler = Arc::new(PeerRequestHandler {
            options: options.clone(),
            decide: decide.clone(),
            pending: pending.clone(),
        });
        tokio::spawn(accept(endpoint.clone(), handler));
        let mut client = ClientConfig::new(options.tls.client.clone());
        client.transport_config(transport());
        let message_handler = PeersMessageHandler {
            dialer: Dialer::new(endpoint.clone(), client, decide.clone(), options.min_silence),
            options,
            decide: decide.clone(),
            pending,
            abort_handles: HashMap::new(),
        };
        tokio::select! {
            () = message_handler.run(inbox) => {}
            _ = exiting.wait_for(|is_exiting| *is_exiting) => {}
        }
        endpoint.close(0u32.into(), b"stopped");
        // A node that misses this notice finds out with its next packet, which the next process
        // answers with a reset or nobody acknowledges.
        let _is_late = timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await.is_err();
    });
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    transport.max_concurrent_uni_streams(VarInt::from_u32(0));
    transport.initial_rtt(INITIAL_RTT);
    transport.max_idle_timeout(IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    Arc::new(transport)
}

fn endpoint<C>(options: &PeersOptions<C>) -> std::io::Result<Endpoint> {
    let mut server = ServerConfig::with_crypto(options.tls.server.clone());
    server.transport_config(transport());
    let mut config = EndpointConfig::new(options.tls.reset_key.clone());
    // Unlike the default generator, this one accepts connection IDs issued by the previous process.
    // Packets with IDs that it rejects are dropped, whereas others are answered with a stateless
    // reset, which tells a node at once that its connection is gone.
    config.cid_generator(|| Box::<RandomConnectionIdGenerator>::default());
    let socket = UdpSocket::bind(options.listen)?;
    Endpoint::new(config, Some(server), socket, Arc::new(TokioRuntime))
}

async fn accept<C: Clock + Sync>(endpoint: Endpoint, handler: Arc<PeerRequestHandler<C>>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(handler.clone().serve(incoming));
    }
}

/// Handles messages from the decide thread.
struct PeersMessageHandler<C> {
    dialer: Dialer,
    options: PeersOptions<C>,
    decide: RingSender<DecideMessage>,
    pending: PendingReplies<PeerCallReply>,
    /// Handles to cancel the calls sent to other nodes, by call and attempt.
    abort_handles: HashMap<(CallKey, u32), AbortHandle>,
}

impl<C: Clock + Sync> PeersMessageHandler<C> {
    async fn run(mut self, inbox: &RingReceiver<PeersMessage>) {
        while let Some(message) = inbox.recv().await {
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: PeersMessage) {
        match message {
            PeersMessage::Reply { reply_to, outcome, report } => {
                self.pending.complete(reply_to, (outcome, report));
            }
            PeersMessage::Send(peer_call) => {
                let now = self.options.clock.now();
                let message = call::encode_call(&self.options.vm, now, &peer_call);
                self.send_call(
                    peer_call.call,
                    peer_call.attempt,
                    peer_call.vm,
                    peer_call.addr,
                    message,
                );
            }
            PeersMessage::Cancel { call, attempt } => {
                if let Some(handle) = self.abort_handles.remove(&(call, attempt)) {
                    handle.abort();
                }
            }
            // The next call opens the new connection.
            PeersMessage::Disconnect { addr } => self.dialer.disconnect(addr),
            PeersMessage::Connect { vm, addr } => self.try_connect(vm, addr),
            PeersMessage::AskConfig { vm, addr, known_version } => {
                let message = call::encode_ask_config(&self.options.vm, known_version);
                self.ask(vm, addr, message);
            }
            PeersMessage::AskMembers { vm, addr, local_record } => {
                self.ask_members(vm, addr, &local_record);
            }
            PeersMessage::AnnounceDraining(peers) => self.announce_draining(peers),
        }
    }

    fn send_call(
        &mut self,
        call: CallKey,
        attempt: u32,
        vm: VmName,
        addr: SocketAddr,
        message: PeerMessage,
    ) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        let limits = self.reply_limits();
        let task = tokio::spawn(async move {
            let result = send::call(&dialer, &vm, addr, &message, &limits).await;
            let input = Input::PeerDone { call, attempt, result };
            decide.send(DecideMessage::Input(input)).await;
        });
        if self.abort_handles.len() >= PRUNE_THRESHOLD {
            self.abort_handles.retain(|_, handle| !handle.is_finished());
        }
        self.abort_handles.insert((call, attempt), task.abort_handle());
    }

    fn reply_limits(&self) -> ReplyLimits {
        ReplyLimits {
            max_bytes: self.options.max_message_bytes,
            budget: self.options.budgets.answers.clone(),
        }
    }

    /// Connects to a node that could not be reached, and reports to the decide thread if it can be.
    fn try_connect(&self, vm: VmName, addr: SocketAddr) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        tokio::spawn(async move {
            if dialer.connection(addr, &vm).await.is_some() {
                decide.send(DecideMessage::Input(Input::PeerReachable(vm))).await;
            }
        });
    }

    fn ask_members(&self, vm: VmName, addr: SocketAddr, local_record: &MemberRecord) {
        self.ask(vm, addr, call::encode_ask_members(local_record));
    }

    fn ask(&self, vm: VmName, addr: SocketAddr, message: PeerMessage) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        let limits = self.reply_limits();
        tokio::spawn(async move {
            send::ask(&dialer, &vm, addr, &message, &limits, &decide).await;
        });
    }

    /// Tells other nodes that this node is draining. The wire format calls the message `Leaving`.
    fn announce_draining(&self, peers: Vec<(VmName, SocketAddr)>) {
        for (vm, addr) in peers {
            let dialer = self.dialer.clone();
            let message = call::encode_leaving(&self.options.vm);
            tokio::spawn(async move { send::notify(&dialer, &vm, addr, &message).await });
        }
    }
}

//! The loop of the peers thread.

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
use poplartrail_wire::call;
use quinn::{
    ClientConfig, Endpoint, EndpointConfig, IdleTimeout, ServerConfig, TokioRuntime,
    TransportConfig, VarInt,
};
use quinn_proto::RandomConnectionIdGenerator;
use tokio::{sync::watch, task::AbortHandle, time::timeout};

use crate::{
    adapters::{
        block_on,
        peers::{
            PeersTls,
            dial::Dialer,
            receive::{PeerAnswer, Receiver},
            send,
        },
        pending::PendingReplies,
    },
    ports::{Clock, DecideMessage, PeersMessage, RingReceiver, RingSender},
};

/// Time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Round trip that is assumed before one was measured, so that a lost first packet is sent again
/// soon; nodes of one region answer within some milliseconds.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Calls that another node may have open on one connection.
const MAX_STREAMS: u32 = 4096;
/// Time in which other nodes are told that the connections end.
const FAREWELL: Duration = Duration::from_millis(100);
/// Finished sends after which the handles are looked through.
const SWEEP_LEN: usize = 1024;

/// Parameters of the peers thread.
#[derive(Clone)]
pub struct PeersOptions<C> {
    /// VM of the node.
    pub vm: VmName,
    /// Address for other nodes.
    pub listen: SocketAddr,
    /// Certificates.
    pub tls: PeersTls,
    /// Largest message.
    pub max_message_bytes: usize,
    /// Calls of other nodes that may wait for a reply.
    pub max_pending: usize,
    /// Shortest time without an acknowledgement after which a connection counts as silent.
    pub min_silence: Duration,
    /// The time.
    pub clock: C,
}

/// Speaks with other nodes until the ring is closed or `ended` says that the process ends.
pub fn run<C: Clock + Sync>(
    options: PeersOptions<C>,
    inbox: &RingReceiver<PeersMessage>,
    decide: &RingSender<DecideMessage>,
    mut ended: watch::Receiver<bool>,
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
        let receiver = Arc::new(Receiver {
            options: options.clone(),
            decide: decide.clone(),
            pending: pending.clone(),
        });
        tokio::spawn(accept(endpoint.clone(), receiver));
        let mut client = ClientConfig::new(options.tls.client.clone());
        client.transport_config(transport());
        let sender = Sender {
            dialer: Dialer::new(endpoint.clone(), client, decide.clone(), options.min_silence),
            options,
            decide: decide.clone(),
            pending,
            handles: HashMap::new(),
        };
        tokio::select! {
            () = sender.run(inbox) => {}
            _ = ended.wait_for(|has_ended| *has_ended) => {}
        }
        endpoint.close(0u32.into(), b"stopped");
        // A node that does not hear it finds out by its next packet.
        let _is_late = timeout(FAREWELL, endpoint.wait_idle()).await.is_err();
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
    // Identifiers that the process before this one gave out must be taken for such, or their
    // connections are not reset.
    config.cid_generator(|| Box::<RandomConnectionIdGenerator>::default());
    let socket = UdpSocket::bind(options.listen)?;
    Endpoint::new(config, Some(server), socket, Arc::new(TokioRuntime))
}

async fn accept<C: Clock + Sync>(endpoint: Endpoint, receiver: Arc<Receiver<C>>) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(receiver.clone().serve(incoming));
    }
}

/// Carries messages out.
struct Sender<C> {
    dialer: Dialer,
    options: PeersOptions<C>,
    decide: RingSender<DecideMessage>,
    pending: PendingReplies<PeerAnswer>,
    handles: HashMap<(CallKey, u32), AbortHandle>,
}

impl<C: Clock + Sync> Sender<C> {
    async fn run(mut self, inbox: &RingReceiver<PeersMessage>) {
        while let Some(message) = inbox.recv().await {
            self.take(message);
        }
    }

    fn take(&mut self, message: PeersMessage) {
        match message {
            PeersMessage::Reply { ticket, outcome, report } => {
                self.pending.complete(ticket, (outcome, report));
            }
            PeersMessage::Send(send) => {
                let now = self.options.clock.now();
                let bytes = call::encode_call(&self.options.vm, now, &send);
                self.send(send.call, send.attempt, send.vm, send.addr, bytes);
            }
            PeersMessage::Cancel { call, attempt } => {
                if let Some(handle) = self.handles.remove(&(call, attempt)) {
                    handle.abort();
                }
            }
            PeersMessage::Reconnect { addr: to } => self.dialer.replace(to),
            PeersMessage::Probe { vm, addr: to } => self.probe(vm, to),
            PeersMessage::AskConfig { vm, addr: to } => {
                self.ask(vm, to, call::encode_ask_config(&self.options.vm));
            }
            PeersMessage::AskMembers { vm, addr: to, local_record: own } => {
                self.ask_members(vm, to, &own);
            }
            PeersMessage::AnnounceDraining(others) => self.say_leaving(others),
        }
    }

    fn send(&mut self, call: CallKey, attempt: u32, vm: VmName, to: SocketAddr, bytes: Vec<u8>) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        let max_bytes = self.options.max_message_bytes;
        let task = tokio::spawn(async move {
            let result = send::call(&dialer, &vm, to, &bytes, max_bytes).await;
            let done = Input::PeerDone { call, attempt, result };
            decide.send(DecideMessage::Input(done)).await;
        });
        if self.handles.len() >= SWEEP_LEN {
            self.handles.retain(|_, handle| !handle.is_finished());
        }
        self.handles.insert((call, attempt), task.abort_handle());
    }

    fn probe(&self, vm: VmName, to: SocketAddr) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        tokio::spawn(async move {
            if dialer.connection(to, &vm).await.is_some() {
                decide.send(DecideMessage::Input(Input::PeerReachable(vm))).await;
            }
        });
    }

    fn ask_members(&self, vm: VmName, to: SocketAddr, own: &MemberRecord) {
        self.ask(vm, to, call::encode_ask_members(own));
    }

    fn ask(&self, vm: VmName, to: SocketAddr, bytes: Vec<u8>) {
        let (dialer, decide) = (self.dialer.clone(), self.decide.clone());
        let max_bytes = self.options.max_message_bytes;
        tokio::spawn(async move {
            send::ask(&dialer, &vm, to, &bytes, max_bytes, &decide).await;
        });
    }

    fn say_leaving(&self, others: Vec<(VmName, SocketAddr)>) {
        for (vm, to) in others {
            let dialer = self.dialer.clone();
            let bytes = call::encode_leaving(&self.options.vm);
            tokio::spawn(async move { send::tell(&dialer, &vm, to, &bytes).await });
        }
    }
}

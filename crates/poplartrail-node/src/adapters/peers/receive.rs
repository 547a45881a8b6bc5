//! Handling of requests from other nodes.

use std::sync::Arc;

use metrics::counter;
use poplartrail_core::{
    call::Outcome, engine::Input, names::VmName, route::GateReport, time::Time,
};
use poplartrail_wire::{
    PeerMessage,
    call::{self, PeerRequest, decode_request},
    generated::CallRequest,
    reply,
};
use quinn::{Connection, Incoming, RecvStream, SendStream};
use tokio::sync::OnceCell;

use crate::{
    adapters::{
        peers::{
            PeersOptions,
            message::{ReadMessageError, read_message, write_message},
            tls::has_certificate_for,
        },
        pending::{CancelGuard, PendingReplies},
        unsent::UnsentReply,
    },
    ports::{Clock, DecideMessage, RingSender, ring},
};

/// Outcome of a call from another node, and the state of this node's gate.
pub(crate) type PeerCallReply = (Outcome, GateReport);

/// Handles the requests on all connections from other nodes.
pub(crate) struct PeerRequestHandler<C> {
    pub(crate) options: PeersOptions<C>,
    pub(crate) decide: RingSender<DecideMessage>,
    pub(crate) pending: PendingReplies<PeerCallReply>,
}

impl<C: Clock + Sync> PeerRequestHandler<C> {
    /// Accepts streams on one connection until it closes. Each stream carries one request.
    pub(crate) async fn serve(self: Arc<Self>, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            counter!("poplartrail_peer_handshakes_refused_total").increment(1);
            return;
        };
        let verified_vm = Arc::new(OnceCell::new());
        let unsent = self.options.unsent.connection();
        while let Ok((tx, rx)) = connection.accept_bi().await {
            let (handler, connection) = (self.clone(), connection.clone());
            let (verified_vm, unsent) = (verified_vm.clone(), unsent.begin());
            tokio::spawn(async move {
                handler.handle_stream(&connection, &verified_vm, unsent, tx, rx).await;
            });
        }
    }

    async fn handle_stream(
        &self,
        connection: &Connection,
        verified_vm: &OnceCell<VmName>,
        mut unsent: UnsentReply,
        mut tx: SendStream,
        mut rx: RecvStream,
    ) {
        // The time that is left to a call counts from here, not from when there is room for it.
        let arrived_at = self.options.clock.now();
        let PeersOptions { max_message_bytes, budgets, .. } = &self.options;
        let bytes = match read_message(&mut rx, *max_message_bytes, &budgets.peers).await {
            Ok(bytes) => bytes,
            Err(ReadMessageError::TooLong) => {
                return refuse_message(connection, "message too long");
            }
            // The sender has given up this request. Others on the connection go on.
            Err(ReadMessageError::BrokenOff) => {
                return counter!("poplartrail_peer_messages_broken_off_total").increment(1);
            }
        };
        let Ok(request) = decode_request(bytes) else {
            return refuse_message(connection, "message not understood");
        };
        if !is_authentic_sender(connection, verified_vm, request.sender()) {
            return refuse_message(connection, "certificate of another VM");
        }
        let Some(reply) = self.handle_request(arrived_at, request, &mut tx).await else {
            return;
        };
        unsent.set_len(reply.len());
        let is_finished = write_message(&mut tx, &reply).await.is_ok() && tx.finish().is_ok();
        // The end of the process would drop what the other node has not acknowledged.
        if is_finished && *self.options.shutting_down.borrow() {
            let _is_lost = tx.stopped().await.is_err();
        }
    }

    async fn handle_request(
        &self,
        arrived_at: Time,
        request: PeerRequest,
        tx: &mut SendStream,
    ) -> Option<PeerMessage> {
        match request {
            PeerRequest::Call(_, call) => self.handle_call(arrived_at, *call, tx).await,
            PeerRequest::Leaving(vm) => {
                self.decide.send(DecideMessage::Input(Input::PeerDraining(vm))).await;
                Some(PeerMessage::default())
            }
            PeerRequest::AskConfig { from: vm, known_version } => {
                let (reply_to, rx) = ring(1);
                self.decide.send(DecideMessage::GetConfig { vm, known_version, reply_to }).await;
                let snapshot = rx.recv().await?;
                Some(snapshot.map_or_else(reply::encode_unchanged, |s| reply::encode_config(&s)))
            }
            PeerRequest::AskMembers(_, peer_record) => {
                let (reply_to, rx) = ring(1);
                self.decide
                    .send(DecideMessage::ExchangeMembers { peer_record: *peer_record, reply_to })
                    .await;
                Some(reply::encode_members(&rx.recv().await?))
            }
        }
    }

    async fn handle_call(
        &self,
        arrived_at: Time,
        request: CallRequest,
        tx: &mut SendStream,
    ) -> Option<PeerMessage> {
        let (reply_to, reply_rx) = self.pending.register()?;
        let guard = CancelGuard::new(&self.pending, &self.decide, reply_to);
        let arrival = call::decode_call(request, reply_to, arrived_at).ok()?;
        if self.decide.try_send(DecideMessage::Input(Input::CallArrived(arrival))).is_err() {
            self.pending.unregister(reply_to);
            return None;
        }
        let reply = tokio::select! {
            reply = reply_rx => reply.ok(),
            // The calling node has cancelled the call.
            _ = tx.stopped() => None,
        };
        drop(guard);
        let (outcome, report) = reply?;
        Some(reply::encode_call_reply(&outcome, &report))
    }
}

/// Returns whether the peer's certificate is valid for `from`. The certificate is checked once per
/// connection.
fn is_authentic_sender(
    connection: &Connection,
    verified_vm: &OnceCell<VmName>,
    from: &VmName,
) -> bool {
    if let Some(verified) = verified_vm.get() {
        return verified == from;
    }
    let is_authentic = has_certificate_for(connection, from);
    if is_authentic {
        // Fails if another stream of the connection was first; it has verified the same name.
        let _is_set = verified_vm.set(from.clone()).is_err();
    }
    is_authentic
}

fn refuse_message(connection: &Connection, why: &'static str) {
    counter!("poplartrail_peer_messages_refused_total", "why" => why).increment(1);
    spdlog::warn!("message from {} refused: {why}", connection.remote_address());
    connection.close(1u32.into(), why.as_bytes());
}

//! Messages from other nodes.

use std::sync::Arc;

use metrics::counter;
use poplartrail_core::{call::Outcome, engine::Input, names::VmName, route::GateReport};
use poplartrail_wire::{
    call::{self, PeerRequest, decode_request},
    generated::CallRequest,
    reply,
};
use quinn::{Connection, Incoming, RecvStream, SendStream};
use tokio::sync::OnceCell;

use crate::{
    adapters::{
        peers::{PeersOptions, tls::is_named},
        pending::{LeaveGuard, Pending},
    },
    ports::{Clock, DecideMessage, RingSender, ring},
};

/// Reply to another node's call.
pub(crate) type PeerAnswer = (Outcome, GateReport);

/// What every connection needs.
pub(crate) struct Receiver<C> {
    pub(crate) options: PeersOptions<C>,
    pub(crate) decide: RingSender<DecideMessage>,
    pub(crate) pending: Pending<PeerAnswer>,
}

impl<C: Clock + Sync> Receiver<C> {
    /// Serves one connection until it ends.
    pub(crate) async fn serve(self: Arc<Self>, incoming: Incoming) {
        let Ok(connection) = incoming.await else {
            counter!("poplartrail_peer_handshakes_refused_total").increment(1);
            return;
        };
        let name = Arc::new(OnceCell::new());
        while let Ok((tx, rx)) = connection.accept_bi().await {
            let (receiver, connection) = (self.clone(), connection.clone());
            let name = name.clone();
            tokio::spawn(async move { receiver.take(&connection, &name, tx, rx).await });
        }
    }

    async fn take(
        &self,
        connection: &Connection,
        name: &OnceCell<VmName>,
        mut tx: SendStream,
        mut rx: RecvStream,
    ) {
        let Ok(bytes) = rx.read_to_end(self.options.max_message_bytes).await else {
            return refuse(connection, "message too long or broken off");
        };
        let Ok(request) = decode_request(&bytes) else {
            return refuse(connection, "message not understood");
        };
        if !is_from(connection, name, request.sender()) {
            return refuse(connection, "certificate of another VM");
        }
        let Some(reply) = self.answer(request, &mut tx).await else { return };
        if tx.write_all(&reply).await.is_ok() {
            // The other end may have gone.
            let _is_closed = tx.finish().is_err();
        }
    }

    async fn answer(&self, request: PeerRequest, tx: &mut SendStream) -> Option<Vec<u8>> {
        match request {
            PeerRequest::Call(_, call) => self.call(*call, tx).await,
            PeerRequest::Leaving(vm) => {
                self.decide.send(DecideMessage::Input(Input::PeerDraining(vm))).await;
                Some(Vec::new())
            }
            PeerRequest::AskConfig(_) => {
                let (answer, rx) = ring(1);
                self.decide.send(DecideMessage::GetConfig(answer)).await;
                let snapshot = rx.recv().await??;
                Some(reply::encode_config(&snapshot))
            }
            PeerRequest::AskMembers(_, own) => {
                let (answer, rx) = ring(1);
                self.decide
                    .send(DecideMessage::ExchangeMembers { peer_record: *own, reply_to: answer })
                    .await;
                Some(reply::encode_members(&rx.recv().await?))
            }
        }
    }

    async fn call(&self, request: CallRequest, tx: &mut SendStream) -> Option<Vec<u8>> {
        let (ticket, wait) = self.pending.wait()?;
        let guard = LeaveGuard::new(&self.pending, &self.decide, ticket);
        let arrival = call::decode_call(request, ticket, self.options.clock.now()).ok()?;
        if self.decide.try_send(DecideMessage::Input(Input::CallArrived(arrival))).is_err() {
            self.pending.forget(ticket);
            return None;
        }
        let answer = tokio::select! {
            answer = wait => answer.ok(),
            // The caller's node has dropped the call.
            _ = tx.stopped() => None,
        };
        drop(guard);
        let (outcome, report) = answer?;
        Some(reply::encode_outcome(&outcome, &report))
    }
}

/// Whether the connection's certificate is that of `from`, looked at once a connection.
fn is_from(connection: &Connection, name: &OnceCell<VmName>, from: &VmName) -> bool {
    if let Some(known) = name.get() {
        return known == from;
    }
    let is_named = is_named(connection, from);
    if is_named {
        // Another stream of the connection may have been first; it checked the same name.
        let _is_set = name.set(from.clone()).is_err();
    }
    is_named
}

fn refuse(connection: &Connection, why: &'static str) {
    counter!("poplartrail_peer_messages_refused_total", "why" => why).increment(1);
    spdlog::warn!("message from {} refused: {why}", connection.remote_address());
    connection.close(1u32.into(), why.as_bytes());
}

//! Requests to other nodes.

use std::{net::SocketAddr, time::Duration};

use poplartrail_core::{
    engine::{Input, PeerFault, PeerOutcome},
    names::VmName,
    route::GateReport,
};
use poplartrail_http::ByteBudget;
use poplartrail_wire::{
    PeerMessage,
    reply::{PeerReply, decode_reply},
};
use quinn::{Connection, SendStream, VarInt};
use tokio::time::timeout;

use crate::{
    adapters::peers::{
        dial::Dialer,
        message::{read_message, write_message},
    },
    ports::{DecideMessage, RingSender},
};

/// Time limit for a request other than a call, including the time to connect.
const ASK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which a call waits for a connection before it may go to another node: enough for
/// several round trips and for the handshake of a busy node. The connection attempt continues
/// afterwards.
const CALL_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Code with which a request that is no longer wanted is broken off.
const CANCELLED: VarInt = VarInt::from_u32(0);

/// Limits on replies.
#[derive(Debug, Clone)]
pub(crate) struct ReplyLimits {
    /// Size limit of one reply, in bytes.
    pub(crate) max_bytes: usize,
    /// Limit on the bytes of all replies until they have been passed on.
    pub(crate) budget: ByteBudget,
}

/// Sends a call and returns its reply.
pub(crate) async fn call(
    dialer: &Dialer,
    vm: &VmName,
    addr: SocketAddr,
    message: &PeerMessage,
    limits: &ReplyLimits,
) -> Result<(PeerOutcome, GateReport), PeerFault> {
    let connection = timeout(CALL_CONNECT_TIMEOUT, dialer.connection(addr, vm)).await;
    let connection = connection.ok().flatten().ok_or(PeerFault::Unsent)?;
    let _exchange = dialer.start_exchange();
    match exchange(&connection, message, limits).await? {
        PeerReply::Call(outcome, report) => Ok((outcome, report)),
        _ => Err(PeerFault::Lost),
    }
}

/// Sends a request other than a call and passes its reply to the decide thread. A failed request is
/// ignored.
pub(crate) async fn ask(
    dialer: &Dialer,
    vm: &VmName,
    addr: SocketAddr,
    message: &PeerMessage,
    limits: &ReplyLimits,
    decide: &RingSender<DecideMessage>,
) {
    let exchange = async {
        let connection = dialer.connection(addr, vm).await.ok_or(PeerFault::Unsent)?;
        let _exchange = dialer.start_exchange();
        exchange(&connection, message, limits).await
    };
    let input = match timeout(ASK_TIMEOUT, exchange).await {
        Ok(Ok(PeerReply::Config(snapshot))) => Input::PeerConfig(snapshot),
        Ok(Ok(PeerReply::Unchanged)) => Input::ConfigConfirmed(vm.clone()),
        Ok(Ok(PeerReply::Members(members))) => Input::PeerMembers(members),
        _ => return,
    };
    decide.send(DecideMessage::Input(input)).await;
}

/// Sends a notification, which has no reply.
pub(crate) async fn notify(dialer: &Dialer, vm: &VmName, addr: SocketAddr, message: &PeerMessage) {
    let send = async {
        let connection = dialer.connection(addr, vm).await?;
        let _exchange = dialer.start_exchange();
        let (mut tx, _rx) = connection.open_bi().await.ok()?;
        write_message(&mut tx, message).await.ok()?;
        tx.finish().ok()?;
        tx.stopped().await.ok()
    };
    // A node that misses the notification learns its content from the reply to its next call.
    let _is_late = timeout(ASK_TIMEOUT, send).await.is_err();
}

/// Stream of a request. If it is dropped before the request has been sent in full, the receiver is
/// told so: by itself, the end of the stream would pass for that of the message.
struct RequestStream {
    tx: SendStream,
    is_finished: bool,
}

impl RequestStream {
    async fn send(mut self, message: &PeerMessage) -> Result<(), PeerFault> {
        write_message(&mut self.tx, message).await.map_err(|_| PeerFault::Lost)?;
        self.is_finished = true;
        self.tx.finish().map_err(|_| PeerFault::Lost)
    }
}

impl Drop for RequestStream {
    fn drop(&mut self) {
        if !self.is_finished {
            // Fails if the other node has stopped the stream.
            let _is_closed = self.tx.reset(CANCELLED).is_err();
        }
    }
}

async fn exchange(
    connection: &Connection,
    message: &PeerMessage,
    limits: &ReplyLimits,
) -> Result<PeerReply, PeerFault> {
    let (tx, mut rx) = connection.open_bi().await.map_err(|_| PeerFault::Unsent)?;
    RequestStream { tx, is_finished: false }.send(message).await?;
    let reply = read_message(&mut rx, limits.max_bytes, &limits.budget).await;
    decode_reply(reply.map_err(|_| PeerFault::Lost)?).map_err(|_| PeerFault::Lost)
}

//! Main loop of the decide thread.

use metrics::gauge;
use poplartrail_core::engine::{Input, Node, NodePhase, Output};
use tokio::sync::watch;

use crate::{
    decide::{OutputRings, upstream_messages::UpstreamMessages},
    ports::{Clock, DecideMessage, RecvTimeoutError, RingReceiver},
};

/// Maximum number of messages handled before the timers are checked again.
const MAX_BATCH_LEN: usize = 64;

/// Sender of a flag that becomes `true` once a draining node has nothing in progress.
pub type DrainedSender = watch::Sender<bool>;

/// Handles messages until every sender of `inbox` is gone.
///
/// The thread parks until the next message or the node's next wake-up, whichever comes first.
pub fn run(
    mut node: Node,
    clock: &impl Clock,
    inbox: &RingReceiver<DecideMessage>,
    rings: &OutputRings,
    drained: &DrainedSender,
) {
    let mut outputs = Vec::new();
    let mut upstream_messages = UpstreamMessages::default();
    loop {
        let timeout = node.next_wake().since(clock.now());
        match inbox.recv_timeout(timeout) {
            Ok(message) => {
                handle_message(&mut node, clock, message, &mut upstream_messages, &mut outputs);
                for _ in 1..MAX_BATCH_LEN {
                    let Some(message) = inbox.try_recv() else { break };
                    handle_message(&mut node, clock, message, &mut upstream_messages, &mut outputs);
                }
            }
            Err(RecvTimeoutError::TimedOut) => {}
            Err(RecvTimeoutError::Closed) => return,
        }
        for message in upstream_messages.take_held(&node) {
            handle_message(&mut node, clock, message, &mut upstream_messages, &mut outputs);
        }
        upstream_messages.confirm_stored(&node);
        if clock.now() >= node.next_wake() {
            node.handle(clock.now(), clock.wall(), Input::Wake, &mut outputs);
        }
        send_outputs(&mut node, clock, rings, &mut outputs, drained);
        gauge!("poplartrail_calls_in_progress").set(node.calls().len() as f64);
    }
}

fn handle_message(
    node: &mut Node,
    clock: &impl Clock,
    message: DecideMessage,
    upstream_messages: &mut UpstreamMessages,
    outputs: &mut Vec<Output>,
) {
    let (now, wall) = (clock.now(), clock.wall());
    // The requester may have gone, in which case its reply is dropped.
    match message {
        DecideMessage::Input(input) => node.handle(now, wall, input, outputs),
        DecideMessage::GetStatus(reply_to) => drop(reply_to.try_send(node.status(now))),
        DecideMessage::MintKey(reply_to) => drop(reply_to.try_send(node.mint_key(wall))),
        DecideMessage::IsReady(reply_to) => {
            let _is_abandoned =
                reply_to.try_send(matches!(node.phase(), NodePhase::Serving(_))).is_err();
        }
        DecideMessage::Heartbeat { .. } | DecideMessage::Deregister { .. }
            if !node.is_restored() =>
        {
            upstream_messages.hold(message);
        }
        DecideMessage::AwaitStored(reply_to) => upstream_messages.await_stored(reply_to),
        DecideMessage::Heartbeat { heartbeat, reply_to } => {
            let result = node.handle_heartbeat(now, wall, &heartbeat, outputs);
            drop(reply_to.try_send(result));
        }
        DecideMessage::Deregister { deregistration, reply_to } => {
            node.handle_deregistration(now, wall, &deregistration, outputs);
            let _is_abandoned = reply_to.try_send(()).is_err();
        }
        DecideMessage::GetConfig { vm, known_version, reply_to } => {
            let snapshot = node.handle_config_request(now, &vm, known_version, outputs);
            drop(reply_to.try_send(snapshot));
        }
        DecideMessage::ExchangeMembers { peer_record, reply_to } => {
            drop(reply_to.try_send(node.cluster().members()));
            node.handle(now, wall, Input::PeerMembers(vec![peer_record]), outputs);
        }
    }
}

/// Sends outputs until none is left, including those that follow from calls that a ring dropped.
fn send_outputs(
    node: &mut Node,
    clock: &impl Clock,
    rings: &OutputRings,
    outputs: &mut Vec<Output>,
    drained: &DrainedSender,
) {
    while !outputs.is_empty() {
        for output in std::mem::take(outputs) {
            if output == Output::Drained {
                drained.send_replace(true);
                continue;
            }
            if let Some(input) = rings.send(clock.wall(), output) {
                node.handle(clock.now(), clock.wall(), input, outputs);
            }
        }
    }
}

//! The loop of the decide thread.

use metrics::gauge;
use poplartrail_core::engine::{Input, Node, NodePhase, Output};
use tokio::sync::watch;

use crate::{
    decide::Outlets,
    ports::{Clock, DecideMessage, RingReceiver, Wait},
};

/// Messages that are taken before the timers are looked at again.
const BATCH: usize = 64;

/// Tells when nothing is in progress on a node that is leaving.
pub type DrainedSender = watch::Sender<bool>;

/// Takes messages until every writing end of `inbox` is gone.
///
/// The thread parks until the next message or the node's next wake-up.
pub fn run(
    mut node: Node,
    clock: &impl Clock,
    inbox: &RingReceiver<DecideMessage>,
    outlets: &Outlets,
    drained: &DrainedSender,
) {
    let mut out = Vec::new();
    loop {
        let wait = node.next_wake().since(clock.now());
        match inbox.recv_timeout(wait) {
            Ok(message) => {
                take(&mut node, clock, message, &mut out);
                for _ in 1..BATCH {
                    let Some(message) = inbox.try_recv() else { break };
                    take(&mut node, clock, message, &mut out);
                }
            }
            Err(Wait::TimedOut) => {}
            Err(Wait::Closed) => return,
        }
        if clock.now() >= node.next_wake() {
            node.handle(clock.now(), clock.wall(), Input::Wake, &mut out);
        }
        carry_out(&mut node, clock, outlets, &mut out, drained);
        gauge!("poplartrail_calls_in_progress").set(node.calls().len() as f64);
    }
}

fn take(node: &mut Node, clock: &impl Clock, message: DecideMessage, out: &mut Vec<Output>) {
    let (now, wall) = (clock.now(), clock.wall());
    // Whoever asked may have gone; then nobody reads the answer.
    match message {
        DecideMessage::Input(input) => node.handle(now, wall, input, out),
        DecideMessage::GetStatus(answer) => drop(answer.try_send(node.status(now))),
        DecideMessage::MintKey(answer) => drop(answer.try_send(node.mint_key(wall))),
        DecideMessage::IsReady(answer) => {
            let _is_gone = answer.try_send(matches!(node.phase(), NodePhase::Serving(_))).is_err();
        }
        DecideMessage::Heartbeat { heartbeat: check_in, reply_to: answer } => {
            let result = node.handle_heartbeat(now, wall, &check_in, out);
            drop(answer.try_send(result));
        }
        DecideMessage::Deregister { deregistration: departure, reply_to: answer } => {
            node.handle_deregistration(now, wall, &departure, out);
            let _is_gone = answer.try_send(()).is_err();
        }
        DecideMessage::GetConfig(answer) => drop(answer.try_send(node.config_snapshot())),
        DecideMessage::ExchangeMembers { peer_record: own, reply_to: answer } => {
            drop(answer.try_send(node.cluster().members()));
            node.handle(now, wall, Input::PeerMembers(vec![own]), out);
        }
    }
}

/// Carries outputs out until none is left; a full ring comes back as an input.
fn carry_out(
    node: &mut Node,
    clock: &impl Clock,
    outlets: &Outlets,
    out: &mut Vec<Output>,
    drained: &DrainedSender,
) {
    while !out.is_empty() {
        for output in std::mem::take(out) {
            if output == Output::Drained {
                drained.send_replace(true);
                continue;
            }
            if let Some(input) = outlets.carry(clock.wall(), output) {
                node.handle(clock.now(), clock.wall(), input, out);
            }
        }
    }
}

//! Sends the outputs of the node to the adapter threads.

use metrics::counter;
use poplartrail_core::{
    call::Outcome,
    engine::{Input, Output, PeerFault, ReplyPort, UpstreamFault},
    time::WallTime,
};

use crate::ports::{
    IngressMessage, PeersMessage, PlatformMessage, ReportMessage, RingSender, UpstreamMessage,
};

/// Sending ends of the rings to the adapter threads.
#[derive(Debug)]
pub struct OutputRings {
    /// Ring to the thread that replies to callers: the ingress thread, or the front thread in
    /// hosted mode.
    pub ingress: RingSender<IngressMessage>,
    /// Ring to the peers thread, which exchanges calls and notifications with other nodes.
    pub peers: RingSender<PeersMessage>,
    /// Ring to the upstream thread, which sends calls to the upstream on the same VM.
    pub upstream: RingSender<UpstreamMessage>,
    /// Ring to the thread that shares this node's records with other nodes: the platform thread, or
    /// the store thread in hosted mode, in which a platform runs the process.
    pub platform: RingSender<PlatformMessage>,
    /// Ring to the report thread, which logs events and keeps them for the timeline.
    pub report: RingSender<ReportMessage>,
}

impl OutputRings {
    /// Sends one output without blocking.
    ///
    /// If a full ring drops a call, returns the input that reports the call as not sent.
    pub(crate) fn send(&self, wall: WallTime, output: Output) -> Option<Input> {
        match output {
            Output::Reply { reply_to, outcome, report } => {
                count_outcome(&outcome);
                match reply_to.port {
                    ReplyPort::Ingress => {
                        count_if_full(
                            self.ingress.try_send(IngressMessage::Reply { reply_to, outcome }),
                            "ingress",
                        );
                    }
                    ReplyPort::Peers => {
                        let reply = PeersMessage::Reply { reply_to, outcome, report };
                        count_if_full(self.peers.try_send(reply), "peers");
                    }
                }
                None
            }
            Output::Dispatch { call, context, instance, payload } => {
                let message = UpstreamMessage::Dispatch { call, context, instance, payload };
                let is_full = count_if_full(self.upstream.try_send(message), "upstream");
                is_full.then_some(Input::UpstreamDone {
                    call,
                    result: Err(UpstreamFault::NotConnected),
                    notice: None,
                })
            }
            Output::Send(send) => {
                let (call, attempt) = (send.call, send.attempt);
                let is_full = count_if_full(self.peers.try_send(PeersMessage::Send(send)), "peers");
                is_full.then_some(Input::PeerDone { call, attempt, result: Err(PeerFault::Unsent) })
            }
            output => {
                self.send_best_effort(wall, output);
                None
            }
        }
    }

    /// Sends an output that may be lost: the node repeats it later, or the other side times out.
    fn send_best_effort(&self, wall: WallTime, output: Output) {
        let peers = |message| count_if_full(self.peers.try_send(message), "peers");
        let platform = |message| count_if_full(self.platform.try_send(message), "platform");
        let _is_full = match output {
            Output::CancelDispatch { call } => {
                count_if_full(self.upstream.try_send(UpstreamMessage::Cancel(call)), "upstream")
            }
            Output::CancelSend { call, attempt } => peers(PeersMessage::Cancel { call, attempt }),
            Output::Disconnect { addr, .. } => peers(PeersMessage::Disconnect { addr }),
            Output::Connect { addr, vm } => peers(PeersMessage::Connect { vm, addr }),
            Output::CallerLimits(limits) => {
                count_if_full(self.ingress.try_send(IngressMessage::Limits(limits)), "ingress")
            }
            Output::AskConfig { addr, vm, known_version } => {
                peers(PeersMessage::AskConfig { vm, addr, known_version })
            }
            Output::AskMembers { addr, vm, local_record } => {
                peers(PeersMessage::AskMembers { vm, addr, local_record })
            }
            Output::AnnounceDraining(others) => peers(PeersMessage::AnnounceDraining(others)),
            Output::AppendMember(record) => platform(PlatformMessage::AppendMember(record)),
            Output::AppendSnapshot(snapshot) => platform(PlatformMessage::AppendSnapshot(snapshot)),
            Output::Subscribe(services) => platform(PlatformMessage::Subscribe(services)),
            Output::RecordEvent(event) => {
                counter!("poplartrail_events_total", "kind" => event.kind.label()).increment(1);
                count_if_full(self.report.try_send(ReportMessage { at: wall, event }), "report")
            }
            _ => false,
        };
    }
}

fn count_outcome(outcome: &Outcome) {
    counter!("poplartrail_outcomes_total", "outcome" => outcome.label()).increment(1);
    if let Outcome::NotRun(not_run) = outcome {
        let reason = format!("{:?}", not_run.reason());
        counter!("poplartrail_refusals_total", "reason" => reason).increment(1);
    }
}

/// Counts a message that its ring could not take, and returns whether that was so.
#[expect(clippy::needless_pass_by_value, reason = "the returned message is dropped")]
fn count_if_full<T>(result: Result<(), T>, ring: &'static str) -> bool {
    if result.is_err() {
        counter!("poplartrail_ring_full_total", "ring" => ring).increment(1);
    }
    result.is_err()
}

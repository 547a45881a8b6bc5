//! Where outputs go.

use metrics::counter;
use poplartrail_core::{
    call::Outcome,
    engine::{Input, Output, PeerFault, ReplyPort, UpstreamFault},
    time::WallTime,
};

use crate::ports::{
    IngressMessage, PeersMessage, PlatformMessage, ReportMessage, RingSender, UpstreamMessage,
};

/// Writing ends of the rings to all other threads.
#[derive(Debug)]
pub struct Outlets {
    /// To the ingress thread.
    pub ingress: RingSender<IngressMessage>,
    /// To the peers thread.
    pub peers: RingSender<PeersMessage>,
    /// To the upstream thread.
    pub upstream: RingSender<UpstreamMessage>,
    /// To the platform thread.
    pub platform: RingSender<PlatformMessage>,
    /// To the report thread.
    pub report: RingSender<ReportMessage>,
}

impl Outlets {
    /// Carries one output out. A full ring never blocks: what it means for the call is returned.
    pub(crate) fn carry(&self, wall: WallTime, output: Output) -> Option<Input> {
        match output {
            Output::Reply { reply_to: ticket, outcome, report } => {
                count_outcome(&outcome);
                match ticket.port {
                    ReplyPort::Ingress => {
                        note_full(
                            self.ingress.try_send(IngressMessage::Reply { ticket, outcome }),
                            "ingress",
                        );
                    }
                    ReplyPort::Peers => {
                        let reply = PeersMessage::Reply { ticket, outcome, report };
                        note_full(self.peers.try_send(reply), "peers");
                    }
                }
                None
            }
            Output::Dispatch { call, context, instance, payload } => {
                let message = UpstreamMessage::Dispatch { call, context, instance, payload };
                let is_full = note_full(self.upstream.try_send(message), "upstream");
                is_full.then_some(Input::UpstreamDone {
                    call,
                    result: Err(UpstreamFault::NotConnected),
                })
            }
            Output::Send(send) => {
                let (call, attempt) = (send.call, send.attempt);
                let is_full = note_full(self.peers.try_send(PeersMessage::Send(send)), "peers");
                is_full.then_some(Input::PeerDone { call, attempt, result: Err(PeerFault::Unsent) })
            }
            output => {
                self.carry_rest(wall, output);
                None
            }
        }
    }

    /// Carries out what may be lost: the node asks again, or the other side times out.
    fn carry_rest(&self, wall: WallTime, output: Output) {
        let peers = |message| note_full(self.peers.try_send(message), "peers");
        let platform = |message| note_full(self.platform.try_send(message), "platform");
        let _is_full = match output {
            Output::CancelDispatch { call } => {
                note_full(self.upstream.try_send(UpstreamMessage::Cancel(call)), "upstream")
            }
            Output::CancelSend { call, attempt } => peers(PeersMessage::Cancel { call, attempt }),
            Output::Reconnect { addr: to, .. } => peers(PeersMessage::Reconnect { addr: to }),
            Output::Probe { addr: to, vm } => peers(PeersMessage::Probe { vm, addr: to }),
            Output::CallerLimits(limits) => {
                note_full(self.ingress.try_send(IngressMessage::Limits(limits)), "ingress")
            }
            Output::AskConfig { addr: to, vm } => peers(PeersMessage::AskConfig { vm, addr: to }),
            Output::AskMembers { addr: to, vm, local_record: own } => {
                peers(PeersMessage::AskMembers { vm, addr: to, local_record: own })
            }
            Output::AnnounceDraining(others) => peers(PeersMessage::AnnounceDraining(others)),
            Output::AppendMember(record) => platform(PlatformMessage::AppendMember(record)),
            Output::AppendSnapshot(snapshot) => platform(PlatformMessage::AppendSnapshot(snapshot)),
            Output::Subscribe(services) => platform(PlatformMessage::Subscribe(services)),
            Output::RecordEvent(event) => {
                counter!("poplartrail_events_total", "kind" => event.kind.label()).increment(1);
                note_full(self.report.try_send(ReportMessage { at: wall, event }), "report")
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

/// Counts a message that found its ring full, and tells whether it did.
#[expect(clippy::needless_pass_by_value, reason = "the refused message ends here")]
fn note_full<T>(offered: Result<(), T>, ring: &'static str) -> bool {
    if offered.is_err() {
        counter!("poplartrail_ring_full_total", "ring" => ring).increment(1);
    }
    offered.is_err()
}

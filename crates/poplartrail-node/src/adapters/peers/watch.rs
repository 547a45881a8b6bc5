//! Watch for connections over which the network acknowledges nothing.

use std::time::Duration;

use poplartrail_core::{engine::Input, names::VmName};
use quinn::Connection;
use tokio::time::{Instant, sleep};

use crate::ports::{DecideMessage, Ring};

/// Time between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(25);
/// Packets that must have gone out since; a connection at rest sends one late acknowledgement,
/// one with lost content repeats itself.
const MIN_UNANSWERED: u64 = 3;
/// Round trips without any packet that count as silence.
const ROUND_TRIPS: u32 = 4;

/// Tells the decide thread when packets go out to `vm` and none comes back.
///
/// QUIC acknowledges every packet with content, whatever the other end's upstream does,
/// so this tells a silent connection from a slow service. `least` is the shortest silence that
/// counts.
pub(crate) async fn watch(
    connection: Connection,
    vm: VmName,
    decide: Ring<DecideMessage>,
    least: Duration,
) {
    let mut received = 0;
    let mut sent_at_last = 0;
    let mut silent_since: Option<Instant> = None;
    while connection.close_reason().is_none() {
        let stats = connection.stats();
        let (sent, heard) = (stats.udp_tx.datagrams, stats.udp_rx.datagrams);
        if heard != received {
            received = heard;
            sent_at_last = sent;
            silent_since = None;
        } else if sent > sent_at_last {
            let since = *silent_since.get_or_insert_with(Instant::now);
            let is_long = since.elapsed() >= least.max(connection.rtt() * ROUND_TRIPS);
            if is_long && sent >= sent_at_last + MIN_UNANSWERED {
                decide.push(DecideMessage::Input(Input::PeerSilent(vm))).await;
                return;
            }
        }
        sleep(LOOK_PAUSE).await;
    }
}

//! Watch for connections over which the network acknowledges nothing.

use std::time::Duration;

use poplartrail_core::{
    engine::Input,
    names::VmName,
    route::{AckWatchdog, ConnectionCounters},
    time::Time,
};
use quinn::{Connection, ConnectionStats};
use tokio::time::{Instant, sleep};

use crate::ports::{DecideMessage, RingSender};

/// Time between two looks.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Round trips without any packet that count as silence.
const SILENT_ROUND_TRIPS: u32 = 4;

/// Tells the decide thread when content goes out to `vm` and no packet comes back.
///
/// QUIC acknowledges every packet with content, whatever the other end's upstream does,
/// so this tells a silent connection from a slow service. `least` is the shortest silence that
/// counts.
pub(crate) async fn watch_connection(
    connection: Connection,
    vm: VmName,
    decide: RingSender<DecideMessage>,
    min_silence: Duration,
) {
    let opened = Instant::now();
    let mut watchdog = AckWatchdog::default();
    while connection.close_reason().is_none() {
        let counters = connection_counters(&connection.stats());
        let timeout = min_silence.max(connection.rtt() * SILENT_ROUND_TRIPS);
        if watchdog.observe(Time::ZERO + opened.elapsed(), counters, timeout) {
            decide.send(DecideMessage::Input(Input::PeerSilent(vm))).await;
            return;
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn connection_counters(stats: &ConnectionStats) -> ConnectionCounters {
    let frames = &stats.frame_tx;
    ConnectionCounters {
        received_packets: stats.udp_rx.datagrams,
        ack_eliciting_frames: frames.crypto + frames.stream + frames.ping,
    }
}

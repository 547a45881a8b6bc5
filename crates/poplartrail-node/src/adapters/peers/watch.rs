//! Detection of connections on which the peer acknowledges nothing.

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

/// Interval between two checks of a connection.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of round-trip times without a received packet after which a connection counts as silent.
const SILENT_ROUND_TRIPS: u32 = 4;

/// Reports to the decide thread when data is sent to `vm` and no packet comes back.
///
/// The peer's QUIC stack acknowledges every packet that carries data, whatever its upstream does,
/// which distinguishes a dead connection from a slow service. `min_silence` is the lower bound of
/// the time after which a connection counts as silent.
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

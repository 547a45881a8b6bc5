//! Detection of connections on which the peer acknowledges nothing.

use std::{sync::Arc, time::Duration};

use poplartrail_core::{
    engine::Input,
    names::VmName,
    route::{AckWatchdog, ConnectionCounters},
    time::Time,
};
use quinn::{Connection, ConnectionStats};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep},
};

use crate::{
    adapters::peers::activity::Activity,
    ports::{DecideMessage, RingSender},
};

/// Interval between two checks of the connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Number of round-trip times without a received packet after which a connection counts as silent.
const SILENT_ROUND_TRIPS: u32 = 4;

/// A connection that this node has opened.
#[derive(Debug)]
pub(crate) struct OpenedConnection {
    pub(crate) vm: VmName,
    pub(crate) connection: Connection,
}

/// Reports to the decide thread when data is sent to a VM and no packet comes back.
///
/// The peer's QUIC stack acknowledges every packet that carries data, whatever its upstream does,
/// which distinguishes a dead connection from a slow service. One task watches all connections, and
/// only while an exchange is in progress: the work of a node at rest would otherwise grow with the
/// number of nodes that it is connected to.
pub(crate) struct ConnectionWatch {
    /// Connections to watch from now on. The watch ends when this channel closes.
    pub(crate) opened: mpsc::Receiver<OpenedConnection>,
    /// Exchanges in progress on all connections.
    pub(crate) activity: Arc<Activity>,
    /// Ring to the decide thread.
    pub(crate) decide: RingSender<DecideMessage>,
    /// Lower bound of the time after which a connection counts as silent.
    pub(crate) min_silence: Duration,
}

impl ConnectionWatch {
    pub(crate) async fn run(mut self) {
        let started = Instant::now();
        let mut watched: Vec<(OpenedConnection, AckWatchdog)> = Vec::new();
        loop {
            tokio::select! {
                opened = self.opened.recv() => {
                    let Some(opened) = opened else { return };
                    watched.push((opened, AckWatchdog::default()));
                }
                () = self.activity.wait(), if !watched.is_empty() => {
                    let now = Time::ZERO + started.elapsed();
                    for vm in remove_silent(&mut watched, now, self.min_silence) {
                        self.decide.send(DecideMessage::Input(Input::PeerSilent(vm))).await;
                    }
                    sleep(CHECK_INTERVAL).await;
                }
            }
        }
    }
}

/// Removes the connections that have closed or are silent, and returns the VMs of the silent ones.
fn remove_silent(
    watched: &mut Vec<(OpenedConnection, AckWatchdog)>,
    now: Time,
    min_silence: Duration,
) -> Vec<VmName> {
    let mut silent = Vec::new();
    watched.retain_mut(|(OpenedConnection { vm, connection }, watchdog)| {
        if connection.close_reason().is_some() {
            return false;
        }
        let timeout = min_silence.max(connection.rtt() * SILENT_ROUND_TRIPS);
        let is_silent = watchdog.observe(now, connection_counters(&connection.stats()), timeout);
        if is_silent {
            silent.push(vm.clone());
        }
        !is_silent
    });
    silent
}

fn connection_counters(stats: &ConnectionStats) -> ConnectionCounters {
    let frames = &stats.frame_tx;
    ConnectionCounters {
        received_packets: stats.udp_rx.datagrams,
        ack_eliciting_frames: frames.crypto + frames.stream + frames.ping,
    }
}

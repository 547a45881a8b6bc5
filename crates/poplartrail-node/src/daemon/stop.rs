//! Waits for the end of the process.

use std::{
    thread::JoinHandle,
    time::{Duration, Instant},
};

use poplartrail_settings::node::NodeSettings;
use tokio::sync::watch;

/// Maximum time for the servers to close their connections after the last call.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Interval of the checks whether threads have ended.
const JOIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until the node has drained, at most for `stop.drain_s` after a stop signal.
pub(crate) fn await_drained(drained: &mut watch::Receiver<bool>, settings: &NodeSettings) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async {
        let drain_timeout = async {
            let terminate = tokio::signal::unix::SignalKind::terminate();
            let interrupt = tokio::signal::unix::SignalKind::interrupt();
            let hangup = tokio::signal::unix::SignalKind::hangup();
            let (Ok(mut terminate), Ok(mut interrupt), Ok(mut hangup)) = (
                tokio::signal::unix::signal(terminate),
                tokio::signal::unix::signal(interrupt),
                tokio::signal::unix::signal(hangup),
            ) else {
                return std::future::pending().await;
            };
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
                _ = hangup.recv() => {}
            }
            tokio::time::sleep(settings.stop.drain_timeout).await;
            spdlog::warn!("calls in progress were aborted: raise stop.drain_s");
        };
        tokio::select! {
            _ = drained.wait_for(|is_drained| *is_drained) => {}
            () = drain_timeout => {}
        }
    });
}

/// Waits until the threads have closed their connections and ended, at most for [`CLOSE_TIMEOUT`].
pub(crate) fn await_threads(threads: &[&JoinHandle<()>]) {
    let end = Instant::now() + CLOSE_TIMEOUT;
    while Instant::now() < end && threads.iter().any(|thread| !thread.is_finished()) {
        std::thread::sleep(JOIN_POLL_INTERVAL);
    }
}

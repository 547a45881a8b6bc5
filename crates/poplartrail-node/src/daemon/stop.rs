//! The end of a process.

use std::{
    thread::JoinHandle,
    time::{Duration, Instant},
};

use poplartrail_settings::node::NodeSettings;
use tokio::sync::watch;

/// Longest wait for the servers to close their connections after the last call.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time between two looks at threads that are ending.
const JOIN_PAUSE: Duration = Duration::from_millis(20);

/// Waits until nothing is in progress, or the bound on a planned stop has passed.
pub(crate) fn await_stop(drained: &mut watch::Receiver<bool>, settings: &NodeSettings) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let Ok(runtime) = runtime else { return };
    runtime.block_on(async {
        let asked = async {
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
            spdlog::warn!("calls in progress were cut off: raise stop.drain_s");
        };
        tokio::select! {
            _ = drained.wait_for(|is_drained| *is_drained) => {}
            () = asked => {}
        }
    });
}

/// Waits for threads that close their connections, within a bound.
pub(crate) fn await_end(threads: &[&JoinHandle<()>]) {
    let end = Instant::now() + CLOSE_TIMEOUT;
    while Instant::now() < end && threads.iter().any(|thread| !thread.is_finished()) {
        std::thread::sleep(JOIN_PAUSE);
    }
}

//! Number of exchanges in progress with other nodes.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use tokio::sync::Notify;

/// Counts the exchanges in progress, so that a task can pause while there are none.
#[derive(Debug, Default)]
pub(crate) struct Activity {
    in_progress: AtomicUsize,
    started: Notify,
}

impl Activity {
    /// Counts an exchange until the returned guard is dropped.
    pub(crate) fn start(self: &Arc<Self>) -> ActivityGuard {
        self.in_progress.fetch_add(1, Ordering::Relaxed);
        self.started.notify_one();
        ActivityGuard(self.clone())
    }

    /// Waits until an exchange is in progress.
    pub(crate) async fn wait(&self) {
        while self.in_progress.load(Ordering::Relaxed) == 0 {
            self.started.notified().await;
        }
    }
}

/// Counts one exchange until it is dropped.
#[derive(Debug)]
pub(crate) struct ActivityGuard(Arc<Activity>);

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        self.0.in_progress.fetch_sub(1, Ordering::Relaxed);
    }
}

//! Adapters between the rings and the outside of the process, each on a thread of its own.

pub mod budgets;
pub mod front;
pub mod ingress;
pub mod peers;
pub mod pending;
pub mod platform;
pub mod probe;
pub mod report;
mod server;
pub mod store;
pub mod unsent;
pub mod upstream;

use std::future::Future;

/// Runs `task` to completion on a single-threaded runtime of the calling thread.
pub(crate) fn block_on(task: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(task),
        Err(err) => spdlog::critical!(
            "cannot create the runtime of this thread: {err}; raise the limit on open files"
        ),
    }
}

//! Adapters between the rings and the outside, each on a thread of its own.

pub mod front;
pub mod ingress;
pub mod peers;
pub mod pending;
pub mod platform;
pub mod probe;
pub mod report;
mod server;
pub mod store;
pub mod upstream;

use std::future::Future;

/// Runs `duty` to its end on a runtime of the calling thread.
pub(crate) fn block_on(duty: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    match runtime {
        Ok(runtime) => runtime.block_on(duty),
        Err(err) => spdlog::critical!("no runtime for this thread: {err}; raise the file limit"),
    }
}

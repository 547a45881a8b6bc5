//! The upstream thread: calls to the upstream on the same VM.

mod dispatch;
mod hosted;
mod run;

pub use hosted::HostedUpstreamOptions;
pub(crate) use run::{Dispatch, DispatchEnd};
pub use run::{UpstreamOptions, run, run_hosted};

//! The upstream duty: calls to the upstream on the VM.

mod dispatch;
mod hosted;
mod run;

pub use hosted::HostedUpstreamOptions;
pub(crate) use run::Dispatch;
pub use run::{UpstreamOptions, run, run_hosted};

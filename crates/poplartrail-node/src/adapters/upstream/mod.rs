//! The upstream duty: calls to the upstream on the VM.

mod direct;
mod dispatch;
mod run;

pub use direct::DirectOptions;
pub(crate) use run::Dispatch;
pub use run::{UpstreamOptions, run, run_direct};

//! The upstream duty: calls to the upstream on the VM.

mod dispatch;
mod run;

pub use run::{UpstreamOptions, run};

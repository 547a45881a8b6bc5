//! The ingress duty: HTTP for callers and for the own upstream's outbound calls.

mod connections;
pub(crate) mod fields;
mod read;
mod reply;
mod serve;

pub use read::BadRequest;

pub use serve::{IngressOptions, run};

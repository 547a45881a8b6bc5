//! The ingress thread: HTTP servers for callers and for the outbound calls of the local upstream.

mod connections;
pub(crate) mod fields;
mod read;
mod reply;
mod serve;

pub use read::BadRequest;

pub use serve::{IngressOptions, run};

//! Stand-in for an upstream: slots, service time, queue, drain, cold start, a load endpoint that
//! may lie, deadlines and cancellation honoured, and a count of what truly ran.

mod behaviour;
mod counts;
mod server;

pub use behaviour::Behaviour;
pub use counts::Counts;
pub use server::{UpstreamOptions, run};

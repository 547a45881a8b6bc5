//! Stand-in for an upstream.
//!
//! It works on as many calls at once as it has slots, queues the others, takes a set time for each,
//! honours deadlines and cancellation, and counts what ran. Its load endpoint may state a wrong
//! number of slots.

mod behaviour;
mod counts;
mod server;

pub use behaviour::Behaviour;
pub use counts::Counts;
pub use server::{UpstreamOptions, run};

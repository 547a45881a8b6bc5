//! A stand-in hosting platform on loopback: its store, instances with faults, nodes and callers.

mod caller;
mod instance;
mod node;
mod store;
mod wire;

pub use caller::{HostedCaller, HostedReply};
pub use instance::{InstanceArrival, StandInstance};
pub use node::HostedNode;
pub use store::{StandStore, StoreCopy};

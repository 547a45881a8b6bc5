//! Why a heartbeat was refused.

use std::net::SocketAddr;

use quick_error::quick_error;

use crate::names::{InstanceName, ServiceName};

quick_error! {
    /// A heartbeat that does not concern the upstream of this node.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeartbeatError {
        /// The instance belongs to another service.
        WrongService(theirs: ServiceName, ours: ServiceName) {
            display("the instance serves {}, the node stands before {}: \
                     send the heartbeat to the node on the instance's VM", theirs, ours)
        }
        /// The instance has another address.
        WrongAddress(theirs: SocketAddr, ours: SocketAddr) {
            display("the instance is at {}, the node stands before {}: \
                     send the heartbeat to the node on the instance's VM", theirs, ours)
        }
        /// A later start has registered at the address.
        Superseded(instance: InstanceName) {
            display("{} has been replaced by a later start: restart it to register again", instance)
        }
    }
}

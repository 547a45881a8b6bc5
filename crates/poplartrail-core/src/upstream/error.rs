//! Reasons why a heartbeat is refused.

use std::net::SocketAddr;

use quick_error::quick_error;

use crate::names::{InstanceName, ServiceName};

quick_error! {
    /// Reason why a heartbeat is not from the present upstream of this node.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum HeartbeatError {
        /// The instance belongs to another service than the node.
        WrongService(reported: ServiceName, expected: ServiceName) {
            display("the instance serves {}, the node stands before {}: \
                     send the heartbeat to the node on the instance's VM", reported, expected)
        }
        /// The instance has another address than the upstream of the node.
        WrongAddress(reported: SocketAddr, expected: SocketAddr) {
            display("the instance is at {}, the node stands before {}: \
                     send the heartbeat to the node on the instance's VM", reported, expected)
        }
        /// A later incarnation has registered, or the incarnation of the heartbeat has been
        /// deregistered.
        Superseded(instance: InstanceName) {
            display("{} has been replaced by a later start: restart it to register again", instance)
        }
    }
}

//! Stand-ins for the platform around a node, for the cases of the second review.
//!
//! They use the standard library alone: the store, an instance, the node process with its settings,
//! and a client. All addresses are loopback addresses with ports that were free a moment before.
#![allow(dead_code)]

pub mod client;
pub mod http;
pub mod instance;
pub mod node;
pub mod record;
pub mod store;

use std::{
    collections::HashSet,
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::{Mutex, PoisonError},
};

/// Ports that this process has handed out, so that none is handed out twice.
static USED: Mutex<Option<HashSet<u16>>> = Mutex::new(None);

/// Returns a loopback address whose port is free for both TCP and UDP.
pub fn free_addr() -> SocketAddr {
    let mut used = USED.lock().unwrap_or_else(PoisonError::into_inner);
    let used = used.get_or_insert_with(HashSet::new);
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port should be free");
        let addr = listener.local_addr().expect("a bound socket has an address");
        if UdpSocket::bind(addr).is_ok() && used.insert(addr.port()) {
            return addr;
        }
    }
}

/// Whether the disruption takes place; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

//! Free ports for the processes of a test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::fleet::process::hold_starts;

/// Ports of the fleets.
const PORTS: std::ops::Range<u32> = 10_000..32_000;
/// Distance between the first ports of two test processes that follow each other.
const PORTS_OF_PROCESS: u32 = 200;

/// A free TCP and UDP port on loopback.
///
/// It lies below the ports that the system gives to outgoing connections, one of which could
/// take it before the process that it is meant for does.
pub fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in PORTS {
        let number = std::process::id().wrapping_mul(PORTS_OF_PROCESS)
            + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + number % (PORTS.end - PORTS.start);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if is_free(addr) {
            return addr;
        }
    }
    panic!("no port is free for both TCP and UDP");
}

fn is_free(addr: SocketAddr) -> bool {
    let _guard = hold_starts();
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}

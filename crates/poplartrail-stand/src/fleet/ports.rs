//! Picks free ports for the processes of a test.

use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    sync::atomic::{AtomicU32, Ordering},
};

use crate::fleet::process::lock_process_starts;

/// Range from which the ports of test processes are taken.
const PORT_RANGE: std::ops::Range<u32> = 10_000..32_000;
/// Distance between the first ports of two test processes with consecutive process ids.
const PORTS_PER_PROCESS: u32 = 200;

/// Returns a loopback address whose port is free for both TCP and UDP.
///
/// The port is below the range that the system uses for outgoing connections. Otherwise, an
/// outgoing connection could take the port before the process under test binds it.
pub fn free_addr() -> SocketAddr {
    static NEXT_PORT: AtomicU32 = AtomicU32::new(0);
    for _ in PORT_RANGE {
        let offset = std::process::id().wrapping_mul(PORTS_PER_PROCESS)
            + NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        let port = PORT_RANGE.start + offset % (PORT_RANGE.end - PORT_RANGE.start);
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, port as u16));
        if is_free(addr) {
            return addr;
        }
    }
    panic!("no port in {PORT_RANGE:?} is free for both TCP and UDP");
}

fn is_free(addr: SocketAddr) -> bool {
    let _guard = lock_process_starts();
    TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
}

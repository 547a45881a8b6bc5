//! Limit on the open connections of one server.

use std::{
    fs, io,
    net::SocketAddr,
    os::fd::{AsRawFd, RawFd},
    path::PathBuf,
    time::Duration,
};

use volo::net::{
    Address, MakeIncoming,
    conn::{Conn, ConnStream},
    incoming::{DefaultIncoming, Incoming},
};

/// Interval between two checks for closed connections while the limit is reached.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A listener that keeps at most `max_connections` connections open.
///
/// A further connection waits in the backlog of the listening socket until an open one is closed.
/// The server does not report when it closes a connection, so the listener looks at the open file
/// descriptors of the process, and only while the limit is reached.
#[derive(Debug)]
pub(crate) struct BoundedListener {
    /// Address to listen on.
    pub(crate) addr: SocketAddr,
    /// Maximum number of open connections.
    pub(crate) max_connections: usize,
}

/// Accepts the connections of a [`BoundedListener`].
#[derive(Debug)]
pub(crate) struct BoundedIncoming {
    inner: DefaultIncoming,
    max_connections: usize,
    open: Vec<OpenSocket>,
}

/// An accepted socket, which may have been closed since.
#[derive(Debug)]
struct OpenSocket {
    fd: RawFd,
    /// The kernel's name of the socket. No other socket has it while this one is open.
    socket_name: PathBuf,
}

impl OpenSocket {
    fn new(conn: &Conn) -> Option<Self> {
        let ConnStream::Tcp(stream) = &conn.stream else { return None };
        let fd = stream.as_raw_fd();
        socket_name_of(fd).map(|socket_name| Self { fd, socket_name })
    }

    fn is_open(&self) -> bool {
        socket_name_of(self.fd).is_some_and(|socket_name| socket_name == self.socket_name)
    }
}

fn socket_name_of(fd: RawFd) -> Option<PathBuf> {
    fs::read_link(format!("/proc/self/fd/{fd}")).ok()
}

impl MakeIncoming for BoundedListener {
    type Incoming = BoundedIncoming;

    async fn make_incoming(self) -> io::Result<Self::Incoming> {
        let inner = Address::from(self.addr).make_incoming().await?;
        Ok(BoundedIncoming { inner, max_connections: self.max_connections, open: Vec::new() })
    }
}

impl BoundedIncoming {
    /// Waits until fewer than `max_connections` connections are open.
    async fn wait_until_below_limit(&mut self) {
        while self.open.len() >= self.max_connections {
            self.open.retain(OpenSocket::is_open);
            if self.open.len() >= self.max_connections {
                tokio::time::sleep(CHECK_INTERVAL).await;
            }
        }
    }
}

impl Incoming for BoundedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        self.wait_until_below_limit().await;
        let conn = self.inner.accept().await?;
        self.open.extend(conn.as_ref().and_then(OpenSocket::new));
        Ok(conn)
    }
}

//! The bound on the connections of one server.

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

/// Time between two looks at whether a connection has been closed, while all places are taken.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// A listener that accepts no more than `max` connections at a time.
///
/// A connection beyond the bound waits in the backlog of the listening socket until one of the
/// others is closed. The server tells nobody when it closes a connection, so the listener looks
/// at the process's table of open files, only when all places are taken.
#[derive(Debug)]
pub(crate) struct BoundedListener {
    /// Address to listen on.
    pub(crate) at: SocketAddr,
    /// Connections at a time.
    pub(crate) max: usize,
}

/// What [`BoundedListener`] accepts from.
#[derive(Debug)]
pub(crate) struct BoundedIncoming {
    inner: DefaultIncoming,
    max: usize,
    open: Vec<OpenSocket>,
}

/// A socket that was open when it was accepted.
#[derive(Debug)]
struct OpenSocket {
    fd: RawFd,
    /// The kernel's name of the socket, which no other one has while it is open.
    name: PathBuf,
}

impl OpenSocket {
    fn of(conn: &Conn) -> Option<Self> {
        let ConnStream::Tcp(stream) = &conn.stream else { return None };
        let fd = stream.as_raw_fd();
        name_of(fd).map(|name| Self { fd, name })
    }

    fn is_open(&self) -> bool {
        name_of(self.fd).is_some_and(|name| name == self.name)
    }
}

fn name_of(fd: RawFd) -> Option<PathBuf> {
    fs::read_link(format!("/proc/self/fd/{fd}")).ok()
}

impl MakeIncoming for BoundedListener {
    type Incoming = BoundedIncoming;

    async fn make_incoming(self) -> io::Result<Self::Incoming> {
        let inner = Address::from(self.at).make_incoming().await?;
        Ok(BoundedIncoming { inner, max: self.max, open: Vec::new() })
    }
}

impl BoundedIncoming {
    /// Waits until fewer than the greatest number of connections are open.
    async fn await_place(&mut self) {
        while self.open.len() >= self.max {
            self.open.retain(OpenSocket::is_open);
            if self.open.len() >= self.max {
                tokio::time::sleep(LOOK_PAUSE).await;
            }
        }
    }
}

impl Incoming for BoundedIncoming {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        self.await_place().await;
        let conn = self.inner.accept().await?;
        self.open.extend(conn.as_ref().and_then(OpenSocket::of));
        Ok(conn)
    }
}

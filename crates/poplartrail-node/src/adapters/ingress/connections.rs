//! The bound on the connections of one server.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use volo::net::{
    Address, MakeIncoming,
    conn::Conn,
    incoming::{DefaultIncoming, Incoming},
};

/// Accepts no more than a set number of connections at a time.
///
/// A connection beyond the bound waits in the backlog of the listening socket until one of the
/// others is closed.
#[derive(Debug)]
pub(crate) struct BoundedIncoming<I = SocketAddr> {
    inner: I,
    places: Arc<Semaphore>,
    accepted: Arc<Mutex<Option<OwnedSemaphorePermit>>>,
}

/// One connection's part of the bound, given back when its last clone is dropped.
///
/// The server keeps one service and clones it for each connection. So the first clone of
/// [`ConnectionPlace::Unclaimed`] takes the place that the accepted connection holds, and the
/// clones of that one, made for each request, share it.
#[derive(Debug)]
pub(crate) enum ConnectionPlace {
    /// In the server's own service, which belongs to no connection.
    Unclaimed(Arc<Mutex<Option<OwnedSemaphorePermit>>>),
    /// In the service of one connection.
    Claimed { _permit: Option<Arc<OwnedSemaphorePermit>> },
}

impl Clone for ConnectionPlace {
    fn clone(&self) -> Self {
        match self {
            Self::Unclaimed(accepted) => {
                let permit = accepted.lock().unwrap_or_else(PoisonError::into_inner).take();
                Self::Claimed { _permit: permit.map(Arc::new) }
            }
            Self::Claimed { _permit } => Self::Claimed { _permit: _permit.clone() },
        }
    }
}

/// A listener on `at` for at most `max` connections, and the place for its service.
pub(crate) fn bounded(at: SocketAddr, max: usize) -> (BoundedIncoming, ConnectionPlace) {
    let accepted = Arc::new(Mutex::new(None));
    let places = Arc::new(Semaphore::new(max));
    let incoming = BoundedIncoming { inner: at, places, accepted: accepted.clone() };
    (incoming, ConnectionPlace::Unclaimed(accepted))
}

impl MakeIncoming for BoundedIncoming {
    type Incoming = BoundedIncoming<DefaultIncoming>;

    async fn make_incoming(self) -> io::Result<Self::Incoming> {
        let inner = Address::from(self.inner).make_incoming().await?;
        Ok(BoundedIncoming { inner, places: self.places, accepted: self.accepted })
    }
}

impl Incoming for BoundedIncoming<DefaultIncoming> {
    async fn accept(&mut self) -> io::Result<Option<Conn>> {
        let permit = self.places.clone().acquire_owned().await.map_err(io::Error::other)?;
        let conn = self.inner.accept().await?;
        if conn.is_some() {
            *self.accepted.lock().unwrap_or_else(PoisonError::into_inner) = Some(permit);
        }
        Ok(conn)
    }
}

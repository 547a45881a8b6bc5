//! Connections to other nodes, one per node, opened on first use.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use poplartrail_core::names::VmName;
use quinn::{ClientConfig, Connection, Endpoint};
use tokio::{
    sync::{OnceCell, mpsc},
    time::timeout,
};

use crate::{
    adapters::peers::{
        activity::{Activity, ActivityGuard},
        watch::{ConnectionWatch, OpenedConnection},
    },
    ports::{DecideMessage, RingSender},
};

/// Time limit for opening a connection, including the TLS handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of opened connections that may wait to be watched.
const MAX_UNWATCHED: usize = 256;

/// The connection to one address, or an empty cell until that is open.
type ConnectionCell = Arc<OnceCell<Connection>>;

/// Opens connections to other nodes and shares them by address.
#[derive(Debug, Clone)]
pub(crate) struct Dialer {
    endpoint: Endpoint,
    config: ClientConfig,
    connections: Arc<Mutex<HashMap<SocketAddr, ConnectionCell>>>,
    opened: mpsc::Sender<OpenedConnection>,
    activity: Arc<Activity>,
}

impl Dialer {
    /// Creates a dialer and starts the task that watches its connections.
    pub(crate) fn new(
        endpoint: Endpoint,
        config: ClientConfig,
        decide: RingSender<DecideMessage>,
        min_silence: Duration,
    ) -> Self {
        let (opened_tx, opened) = mpsc::channel(MAX_UNWATCHED);
        let activity = Arc::<Activity>::default();
        let watch = ConnectionWatch { opened, activity: activity.clone(), decide, min_silence };
        tokio::spawn(watch.run());
        Self { endpoint, config, connections: Arc::default(), opened: opened_tx, activity }
    }

    /// Has the connections watched until the returned guard is dropped.
    pub(crate) fn start_exchange(&self) -> ActivityGuard {
        self.activity.start()
    }

    /// Returns the connection to `vm` at `addr`, opening it if there is none. Returns `None` if
    /// that fails or exceeds [`CONNECT_TIMEOUT`].
    ///
    /// The connection attempt continues if the caller stops waiting, so that a later call finds
    /// the connection open.
    pub(crate) async fn connection(&self, addr: SocketAddr, vm: &VmName) -> Option<Connection> {
        let cell = self.connection_cell(addr);
        if let Some(connection) = cell.get() {
            return Some(connection.clone());
        }
        let (dialer, vm) = (self.clone(), vm.clone());
        let connecting = tokio::spawn(async move { dialer.get_or_connect(&cell, addr, &vm).await });
        connecting.await.ok().flatten()
    }

    async fn get_or_connect(
        &self,
        cell: &ConnectionCell,
        addr: SocketAddr,
        vm: &VmName,
    ) -> Option<Connection> {
        match cell.get_or_try_init(|| self.connect(addr, vm)).await {
            Ok(connection) => Some(connection.clone()),
            Err(()) => {
                self.remove_cell(addr, cell);
                None
            }
        }
    }

    async fn connect(&self, addr: SocketAddr, vm: &VmName) -> Result<Connection, ()> {
        let connecting = self.endpoint.connect_with(self.config.clone(), addr, vm.as_str());
        let connecting = connecting.map_err(|_| ())?;
        let connection = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| ())?;
        let connection = connection.map_err(|_| ())?;
        let opened = OpenedConnection { vm: vm.clone(), connection: connection.clone() };
        // Fails only while the thread ends.
        let _is_closed = self.opened.send(opened).await.is_err();
        Ok(connection)
    }

    /// Closes the connection to `addr`, so that the next call opens a new one.
    pub(crate) fn disconnect(&self, addr: SocketAddr) {
        let cell = self.lock().remove(&addr);
        if let Some(connection) = cell.as_ref().and_then(|cell| cell.get()) {
            connection.close(0u32.into(), b"silent");
        }
    }

    /// Returns the cell for `addr`, or an empty one in its place if the connection has closed.
    fn connection_cell(&self, addr: SocketAddr) -> ConnectionCell {
        let mut connections = self.lock();
        let cell = connections.entry(addr).or_default();
        if cell.get().is_some_and(|connection| connection.close_reason().is_some()) {
            *cell = ConnectionCell::default();
        }
        cell.clone()
    }

    fn remove_cell(&self, addr: SocketAddr, cell: &ConnectionCell) {
        let mut connections = self.lock();
        if connections.get(&addr).is_some_and(|current| Arc::ptr_eq(current, cell)) {
            connections.remove(&addr);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, ConnectionCell>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Connections to other nodes, one to each, opened when first needed.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use poplartrail_core::names::VmName;
use quinn::{ClientConfig, Connection, Endpoint};
use tokio::{sync::OnceCell, time::timeout};

use crate::{
    adapters::peers::watch::watch,
    ports::{DecideMessage, RingSender},
};

/// Time within which a connection must be open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

type Cell = Arc<OnceCell<Connection>>;

/// Open connections by address.
#[derive(Debug, Clone)]
pub(crate) struct Dialer {
    endpoint: Endpoint,
    config: ClientConfig,
    cells: Arc<Mutex<HashMap<SocketAddr, Cell>>>,
    decide: RingSender<DecideMessage>,
    least_silence: Duration,
}

impl Dialer {
    pub(crate) fn new(
        endpoint: Endpoint,
        config: ClientConfig,
        decide: RingSender<DecideMessage>,
        least_silence: Duration,
    ) -> Self {
        Self { endpoint, config, cells: Arc::default(), decide, least_silence }
    }

    /// The connection to `vm` at `to`, or `None` if none can be opened in time.
    ///
    /// Opening goes on if the caller gives up, so that a later call finds the connection open.
    pub(crate) async fn connection(&self, to: SocketAddr, vm: &VmName) -> Option<Connection> {
        let cell = self.cell(to);
        if let Some(connection) = cell.get() {
            return Some(connection.clone());
        }
        let (dialer, vm) = (self.clone(), vm.clone());
        let opening = tokio::spawn(async move { dialer.fill(&cell, to, &vm).await });
        opening.await.ok().flatten()
    }

    async fn fill(&self, cell: &Cell, to: SocketAddr, vm: &VmName) -> Option<Connection> {
        match cell.get_or_try_init(|| self.open(to, vm)).await {
            Ok(connection) => Some(connection.clone()),
            Err(()) => {
                self.drop_cell(to, cell);
                None
            }
        }
    }

    async fn open(&self, to: SocketAddr, vm: &VmName) -> Result<Connection, ()> {
        let connecting = self.endpoint.connect_with(self.config.clone(), to, vm.as_str());
        let connecting = connecting.map_err(|_| ())?;
        let connection = timeout(CONNECT_TIMEOUT, connecting).await.map_err(|_| ())?;
        let connection = connection.map_err(|_| ())?;
        tokio::spawn(watch(
            connection.clone(),
            vm.clone(),
            self.decide.clone(),
            self.least_silence,
        ));
        Ok(connection)
    }

    /// Closes the connection to `to`; the next call opens a new one.
    pub(crate) fn replace(&self, to: SocketAddr) {
        let cell = self.lock().remove(&to);
        if let Some(connection) = cell.as_ref().and_then(|cell| cell.get()) {
            connection.close(0u32.into(), b"silent");
        }
    }

    /// The cell for `to`, a fresh one if its connection has closed.
    fn cell(&self, to: SocketAddr) -> Cell {
        let mut cells = self.lock();
        let cell = cells.entry(to).or_default();
        if cell.get().is_some_and(|connection| connection.close_reason().is_some()) {
            *cell = Cell::default();
        }
        cell.clone()
    }

    fn drop_cell(&self, to: SocketAddr, cell: &Cell) {
        let mut cells = self.lock();
        if cells.get(&to).is_some_and(|present| Arc::ptr_eq(present, cell)) {
            cells.remove(&to);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Cell>> {
        self.cells.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Open connections of a server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use metrics::gauge;
use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::Instant};

new_key_type! {
    /// Key of an open connection.
    struct EntryKey;
}

/// Open connections of a server, of which there is a maximum number.
///
/// Clients keep connections open without a request on them. At the maximum, the one that has been
/// idle longest is evicted for a new one.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionTable(Arc<Mutex<Entries>>);

#[derive(Debug)]
struct Entries {
    max: usize,
    open: SlotMap<EntryKey, Entry>,
}

#[derive(Debug)]
struct Entry {
    /// Time since which no request has been on the connection; `None` while one is, or if the
    /// connection is being evicted.
    idle_since: Option<Instant>,
    eviction: Arc<Notify>,
}

impl ConnectionTable {
    /// Creates a table of at most `max` connections.
    pub(crate) fn new(max: usize) -> Self {
        Self(Arc::new(Mutex::new(Entries { max, open: SlotMap::with_key() })))
    }

    /// Adds a new connection, for which an idle one may be evicted. Returns `None` if no connection is
    /// idle.
    pub(crate) fn admit(&self) -> Option<ConnectionEntry> {
        let mut entries = self.lock();
        if entries.open.len() >= entries.max {
            let idle = entries.open.values_mut().filter(|entry| entry.idle_since.is_some());
            let longest = idle.min_by_key(|entry| entry.idle_since)?;
            longest.idle_since = None;
            longest.eviction.notify_one();
        }
        let eviction = Arc::new(Notify::new());
        let entry = Entry { idle_since: Some(Instant::now()), eviction: eviction.clone() };
        let key = entries.open.insert(entry);
        gauge!("poplartrail_connections_open").increment(1.0);
        Some(ConnectionEntry { table: self.clone(), key, eviction, is_idle: true })
    }

    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Entry of an open connection, which is removed when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionEntry {
    table: ConnectionTable,
    key: EntryKey,
    eviction: Arc<Notify>,
    /// Last state that was recorded.
    is_idle: bool,
}

impl ConnectionEntry {
    /// Records whether the connection is without a request, and since when.
    pub(crate) fn set_idle(&mut self, is_idle: bool, since: Instant) {
        if is_idle == self.is_idle {
            return;
        }
        self.is_idle = is_idle;
        if let Some(entry) = self.table.lock().open.get_mut(self.key) {
            entry.idle_since = is_idle.then_some(since);
        }
    }

    /// Waits until the connection is evicted.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionEntry {
    fn drop(&mut self) {
        self.table.lock().open.remove(self.key);
        gauge!("poplartrail_connections_open").decrement(1.0);
    }
}

//! Room for the connections of a server.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use metrics::gauge;
use slotmap::{SlotMap, new_key_type};
use tokio::{sync::Notify, time::Instant};

new_key_type! {
    /// Key of an open connection.
    struct PlaceKey;
}

/// Open connections of a server, of which there is a maximum number.
///
/// Clients keep connections open without a request on them. At the maximum, the one that has been
/// idle longest makes room for a new one.
#[derive(Debug, Clone)]
pub(crate) struct ConnectionRoom(Arc<Mutex<Places>>);

#[derive(Debug)]
struct Places {
    max: usize,
    open: SlotMap<PlaceKey, Place>,
}

#[derive(Debug)]
struct Place {
    /// Time since which no request has been on the connection; `None` while one is, or if the
    /// connection has been told to close.
    idle_since: Option<Instant>,
    eviction: Arc<Notify>,
}

impl ConnectionRoom {
    /// Creates room for `max` connections.
    pub(crate) fn new(max: usize) -> Self {
        Self(Arc::new(Mutex::new(Places { max, open: SlotMap::with_key() })))
    }

    /// Returns a place for a new connection, for which an idle one may have been told to close;
    /// `None` if all connections are in use.
    pub(crate) fn enter(&self) -> Option<ConnectionPlace> {
        let mut places = self.lock();
        if places.open.len() >= places.max {
            let idle = places.open.values_mut().filter(|place| place.idle_since.is_some());
            let longest = idle.min_by_key(|place| place.idle_since)?;
            longest.idle_since = None;
            longest.eviction.notify_one();
        }
        let eviction = Arc::new(Notify::new());
        let place = Place { idle_since: Some(Instant::now()), eviction: eviction.clone() };
        let key = places.open.insert(place);
        gauge!("poplartrail_connections_open").increment(1.0);
        Some(ConnectionPlace { room: self.clone(), key, eviction, is_idle: true })
    }

    fn lock(&self) -> MutexGuard<'_, Places> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Place of an open connection, which becomes free when it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionPlace {
    room: ConnectionRoom,
    key: PlaceKey,
    eviction: Arc<Notify>,
    /// Last state that was recorded.
    is_idle: bool,
}

impl ConnectionPlace {
    /// Records whether the connection is without a request, and since when.
    pub(crate) fn set_idle(&mut self, is_idle: bool, since: Instant) {
        if is_idle == self.is_idle {
            return;
        }
        self.is_idle = is_idle;
        if let Some(place) = self.room.lock().open.get_mut(self.key) {
            place.idle_since = is_idle.then_some(since);
        }
    }

    /// Waits until the connection is told to make room.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionPlace {
    fn drop(&mut self) {
        self.room.lock().open.remove(self.key);
        gauge!("poplartrail_connections_open").decrement(1.0);
    }
}

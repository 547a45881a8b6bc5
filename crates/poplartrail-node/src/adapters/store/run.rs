//! Main loop of the store thread.

use std::net::SocketAddr;

use tokio::sync::watch;

use crate::{
    adapters::{
        block_on,
        store::{
            announce::announce,
            follow::{Topic, follow},
            store_health::StoreHealth,
        },
    },
    ports::{Clock, DecideMessage, PlatformMessage, RingReceiver, RingSender},
};

/// Parameters of the store thread.
#[derive(Debug, Clone)]
pub struct StoreOptions<C> {
    /// Address of the store.
    pub addr: SocketAddr,
    /// Source of the current time.
    pub clock: C,
}

/// Reads the topics of the store and announces this node until `inbox` is closed.
pub fn run<C: Clock + Sync>(
    options: StoreOptions<C>,
    inbox: &RingReceiver<PlatformMessage>,
    decide: &RingSender<DecideMessage>,
) {
    block_on(async move {
        let health = StoreHealth::new();
        for topic in [Topic::Operator, Topic::Members] {
            tokio::spawn(follow(topic, options.addr, health.clone(), decide.clone()));
        }
        let (latest_tx, latest) = watch::channel(None);
        let announcer =
            tokio::spawn(announce(options.addr, latest, options.clock, health, decide.clone()));
        while let Some(message) = inbox.recv().await {
            if let PlatformMessage::AppendMember(record) = message {
                latest_tx.send_replace(Some(record));
            }
        }
        announcer.abort();
    });
}

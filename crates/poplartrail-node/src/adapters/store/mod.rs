//! The store thread: reads the site's configuration and exchanges member records through the
//! platform's store.

mod announce;
mod backoff;
mod follow;
mod run;
mod store_health;

pub use run::{StoreOptions, run};

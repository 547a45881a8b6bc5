//! The store duty: the site's configuration and the members, through the platform's store.

mod announce;
mod backoff;
mod follow;
mod run;

pub use run::{StoreOptions, run};

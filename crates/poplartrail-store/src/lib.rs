//! Client of the hosting platform's store.

mod client;
mod error;

pub use client::{NewestRecords, StoreClient};
pub use error::StoreError;

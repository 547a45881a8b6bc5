//! The client of the platform's store.

mod client;
mod error;

pub use client::{Newest, StoreClient};
pub use error::StoreError;

//! HTTP client of the daemon and the command-line tool, and the platform log over it.

mod body;
mod client;
mod fields;
pub mod h1;
mod log_client;

pub use body::{BodyError, read_body};
pub use client::{WholeBody, WholeClient, client, get, is_unconnected};
pub use fields::{OWN_PREFIX, add_fields, end_to_end};
pub use log_client::{Appended, LogClient, LogError};

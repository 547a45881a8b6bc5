//! HTTP client of the daemon and the command-line tool, and the platform log over it.

mod body;
mod client;
mod fields;
pub mod h1;
mod log_client;

pub use body::{BodyError, read_body};
pub use client::{BufferedBody, HttpClient, build_client, get, is_connect_error};
pub use fields::{OWN_PREFIX, add_fields, end_to_end_fields};
pub use log_client::{Appended, LogClient, LogError};

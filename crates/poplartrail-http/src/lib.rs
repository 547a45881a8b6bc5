//! HTTP/1.1 for the daemon and the command-line tool, and the client of the platform log.

mod body;
mod budget;
mod client;
mod fields;
pub mod h1;
mod log_client;

pub use body::{BodyError, read_body};
pub use budget::{ByteBudget, ByteReservation};
pub use client::{BufferedBody, HttpClient, build_client, get, is_connect_error};
pub use fields::{INTERNAL_FIELD_PREFIX, add_fields, end_to_end_fields};
pub use log_client::{AppendedRecord, LogClient, LogError};

//! Configuration as a fold over the platform log.
//!
//! The log orders changes. Each change names the version of its document that it was made
//! against, so the first of two racing changes takes effect on every node and the second
//! is refused on every node. [`ConfigState`] is the fold; it never goes back.

mod change;
mod check;
mod config_state;

pub use change::{Change, ChangeId, Document, DocumentId, Snapshot, Stale, Verdict};
pub use check::DocumentCheck;
pub use config_state::{ConfigRecord, ConfigState};

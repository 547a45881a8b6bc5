//! Configuration as a fold over the platform log.
//!
//! The log orders changes. Each change names the version of its document that it was made
//! against, so the first of two racing changes takes effect on every node and the second
//! is refused on every node. [`History`] is the fold; it never goes back.

mod change;
mod check;
mod history;

pub use change::{Change, ChangeId, Document, DocumentId, Snapshot, Stale, Verdict};
pub use check::DocumentCheck;
pub use history::{History, Step};

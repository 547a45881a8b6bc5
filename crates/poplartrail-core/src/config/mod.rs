//! Configuration as a fold over the platform log.
//!
//! The log orders changes. Each change states the version of its document that it expects, so of
//! two concurrent changes the first takes effect on every node and the second is refused on every
//! node. [`ConfigState`] is the folded state; its version never decreases.

mod change;
mod check;
mod config_state;

pub use change::{Change, ChangeId, Document, DocumentId, Snapshot, Stale, Verdict};
pub use check::DocumentCheck;
pub use config_state::{ConfigRecord, ConfigState};

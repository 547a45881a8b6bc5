//! The port through which the fold has documents checked.

use std::{collections::BTreeMap, sync::Arc};

use crate::config::{Document, DocumentId};

/// Checks whether documents fit together, without regard to anything outside them.
///
/// The result must follow from the documents alone, because every node repeats the check
/// and all must come to the same verdict.
pub trait DocumentCheck {
    /// Returns why `after` may not replace `before`, with the remedy.
    fn check(
        &self,
        before: &BTreeMap<DocumentId, Document>,
        after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>>;
}

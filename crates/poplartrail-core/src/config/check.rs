//! Port through which configuration documents are checked.

use std::{collections::BTreeMap, sync::Arc};

use crate::config::{Document, DocumentId};

/// Check of whether configuration documents fit together.
///
/// The result must depend on the documents alone, because every node repeats the check and all
/// must reach the same verdict.
pub trait DocumentCheck {
    /// Checks whether `after` may replace `before`; the error states the reason and the remedy.
    fn check(
        &self,
        before: &BTreeMap<DocumentId, Document>,
        after: &BTreeMap<DocumentId, Document>,
    ) -> Result<(), Arc<str>>;
}

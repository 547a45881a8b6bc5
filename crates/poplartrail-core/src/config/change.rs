//! Changes of configuration documents, and the verdict on each.

use std::{fmt, sync::Arc};

use bytes::Bytes;

use crate::names::{OperatorName, SiteName};

/// Identity of a change, created by the tool that publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Identity of a document: the base file or the overlay of one site.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentId {
    /// The file that applies to all sites.
    Base,
    /// The differences from the base file at one site.
    Overlay(SiteName),
}

impl fmt::Display for DocumentId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentId::Base => f.write_str("base"),
            DocumentId::Overlay(site) => write!(f, "overlay {site}"),
        }
    }
}

/// One document in force, with the change that produced it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Number of changes of this document that were accepted so far.
    pub version: u64,
    /// Change that produced this version.
    pub change: ChangeId,
    /// Operator who published the change.
    pub author: OperatorName,
    /// Text of the document.
    pub text: Arc<str>,
}

/// Request to replace one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Identity of the change; a repeated append has the same one.
    pub id: ChangeId,
    /// Document to replace.
    pub document: DocumentId,
    /// Version of the document that the author edited, 0 for a new document. The change is refused
    /// if another version is in force.
    pub expected_version: u64,
    /// Operator who publishes the change.
    pub author: OperatorName,
    /// Complete new text.
    pub text: Arc<str>,
}

/// State of all documents after applying every record before `next_offset`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the first record that is not included.
    pub next_offset: u64,
    /// Number of accepted changes of all documents; on a hosted node, the version of the site's
    /// configuration.
    pub version: u64,
    /// Documents in force.
    pub documents: Vec<(DocumentId, Document)>,
    /// Site configuration as the operators wrote it; set on hosted nodes alone.
    pub site_document: Option<Bytes>,
}

impl Snapshot {
    /// Creates a snapshot of a hosted node, which has a site configuration and no documents.
    pub fn of_hosted_node(version: u64, document: Bytes) -> Self {
        Self { next_offset: 0, version, documents: Vec::new(), site_document: Some(document) }
    }
}

/// Version that a refused change conflicts with.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stale {
    /// Version of the document that is in force.
    pub current: u64,
    /// Author of that version; `None` if the document does not exist.
    pub author: Option<OperatorName>,
}

/// Result of a change, the same on every node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change took effect.
    Accepted {
        /// Version of the document that the change produced.
        version: u64,
        /// Version of the whole configuration after the change: the number of accepted changes of
        /// all documents.
        total: u64,
    },
    /// Another change of the document took effect first.
    Stale(Stale),
    /// The documents would not fit together, with the reason and the remedy.
    Invalid(Arc<str>),
}

//! A change of configuration and its verdict.

use std::{fmt, sync::Arc};

use bytes::Bytes;

use crate::names::{OperatorName, SiteName};

/// Identity of a change, made by the tool that publishes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ChangeId(pub u128);

impl fmt::Display for ChangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// The base file or the overlay of one site.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentId {
    /// The file that holds for all sites.
    Base,
    /// What differs at one site.
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

/// One document with the change that made it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// Number of accepted changes of this document.
    pub version: u64,
    /// The change that made this version.
    pub change: ChangeId,
    /// Who made it.
    pub author: OperatorName,
    /// Its text.
    pub text: Arc<str>,
}

/// A request to replace one document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Identity of the change; a repeated append carries the same one.
    pub id: ChangeId,
    /// The document to replace.
    pub document: DocumentId,
    /// Version of the document that the author saw, 0 for a new document.
    pub expected_version: u64,
    /// Who makes the change.
    pub author: OperatorName,
    /// The whole new text.
    pub text: Arc<str>,
}

/// All documents after every record before `next_offset` has been folded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Offset of the first record that is not included.
    pub next_offset: u64,
    /// Number of accepted changes of all documents.
    pub version: u64,
    /// The documents.
    pub documents: Vec<(DocumentId, Document)>,
    /// The site's configuration as the operators wrote it, on nodes that are ruled by one.
    pub site_document: Option<Bytes>,
}

impl Snapshot {
    /// A snapshot of a site's configuration alone.
    pub fn of_site(version: u64, document: Bytes) -> Self {
        Self { next_offset: 0, version, documents: Vec::new(), site_document: Some(document) }
    }
}

/// The change that a refused change lost against.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stale {
    /// Version of the document in force.
    pub current: u64,
    /// Who made it.
    pub author: Option<OperatorName>,
}

/// What became of a change; the same on every node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// The change took effect as this version of its document.
    Accepted {
        /// Version of the document.
        version: u64,
        /// Number of accepted changes of all documents.
        total: u64,
    },
    /// Another change of the document came first.
    Stale(Stale),
    /// The documents would not fit together.
    Invalid(Arc<str>),
}

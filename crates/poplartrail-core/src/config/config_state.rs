//! State computed from the records of the configuration stream in the platform log.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    config::{Change, ChangeId, Document, DocumentCheck, DocumentId, Snapshot, Stale, Verdict},
    time::WallTime,
};

/// Maximum number of verdicts that are kept, for operators to query and to recognise repeated
/// changes.
const MAX_VERDICTS: usize = 4096;

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigRecord {
    /// Change that an operator published.
    Change(Change),
    /// State of all documents at the time when a node appended it. It keeps documents in the log
    /// beyond the retention of the changes that produced them.
    Snapshot(Snapshot),
}

/// Documents in force, with what is needed to decide on the next change.
#[derive(Debug, Clone)]
pub struct ConfigState {
    next_offset: u64,
    /// Number of accepted changes of all documents; each document has a version of its own.
    version: u64,
    documents: BTreeMap<DocumentId, Document>,
    /// Log time of the newest record that contains the document.
    recorded_at: BTreeMap<DocumentId, WallTime>,
    verdicts: HashMap<ChangeId, Verdict>,
    /// Identities of the changes in `verdicts`, the oldest first.
    decided_changes: VecDeque<ChangeId>,
    gap: Option<Gap>,
}

/// Gap between the state and the oldest record that the log still has.
#[derive(Debug, Clone)]
struct Gap {
    oldest: u64,
    /// Changes from after the gap, to be decided on once it is closed.
    deferred: Vec<(u64, WallTime, Change)>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self {
            next_offset: 0,
            version: 0,
            documents: BTreeMap::new(),
            recorded_at: BTreeMap::new(),
            verdicts: HashMap::new(),
            decided_changes: VecDeque::new(),
            gap: None,
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Returns the number of accepted changes of all documents.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the documents in force.
    pub fn documents(&self) -> &BTreeMap<DocumentId, Document> {
        &self.documents
    }

    /// Returns whether records are missing, so that changes cannot be decided on yet.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns the verdict on the change `id`, if this node decided on it and still keeps the
    /// verdict. A change that arrived as part of a snapshot has none.
    pub fn verdict(&self, id: ChangeId) -> Option<&Verdict> {
        self.verdicts.get(&id)
    }

    /// Opens a gap if the log has dropped records that were not applied; `oldest` is the oldest
    /// offset that the log still has.
    pub fn observe_oldest(&mut self, oldest: u64) {
        if oldest > self.next_offset {
            self.next_offset = oldest;
            match &mut self.gap {
                Some(gap) => gap.oldest = oldest,
                None => self.gap = Some(Gap { oldest, deferred: Vec::new() }),
            }
        }
    }

    /// Applies one record and returns whether the documents changed.
    pub fn apply(
        &mut self,
        offset: u64,
        at: WallTime,
        record: &ConfigRecord,
        check: &dyn DocumentCheck,
    ) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        match record {
            ConfigRecord::Change(change) => match &mut self.gap {
                Some(gap) => {
                    gap.deferred.push((offset, at, change.clone()));
                    false
                }
                None => self.decide(at, change, check),
            },
            ConfigRecord::Snapshot(snapshot) => self.apply_snapshot(at, snapshot, check),
        }
    }

    /// Replaces the state with `snapshot`, which another node sent, if it is newer or closes the
    /// gap.
    ///
    /// Returns whether the documents changed.
    pub fn install_snapshot(&mut self, snapshot: &Snapshot, check: &dyn DocumentCheck) -> bool {
        if snapshot.version < self.version {
            return false;
        }
        let before = self.version;
        if self.gap.is_some() {
            self.close_gap(snapshot, check);
            if self.gap.is_some() && snapshot.version > self.version {
                self.replace_with(snapshot);
            }
        } else if snapshot.next_offset > self.next_offset {
            self.replace_with(snapshot);
            self.next_offset = snapshot.next_offset;
        }
        self.version > before
    }

    /// Returns the state, to be appended to the log or sent to another node; `None` if records are
    /// missing or no change has been accepted.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if self.gap.is_some() || self.version == 0 {
            return None;
        }
        let documents = self.documents.iter().map(|(id, d)| (id.clone(), d.clone())).collect();
        Some(Snapshot {
            next_offset: self.next_offset,
            version: self.version,
            documents,
            // Set in snapshots of hosted nodes alone.
            site_document: None,
        })
    }

    /// Returns whether a snapshot must be appended, because the log will soon drop the newest
    /// record of at least one document.
    ///
    /// This is so once more than half of the retention has passed since the newest record of a
    /// document, or if no record of it is known.
    pub fn needs_snapshot(&self, log_now: WallTime, retention: Duration) -> bool {
        self.gap.is_none()
            && self.documents.keys().any(|id| match self.recorded_at.get(id) {
                Some(at) => log_now.since(*at) > retention / 2,
                None => true,
            })
    }

    fn decide(&mut self, at: WallTime, change: &Change, check: &dyn DocumentCheck) -> bool {
        if self.verdicts.contains_key(&change.id) || self.is_in_force(change) {
            return false;
        }
        let verdict = self.evaluate(change, check);
        let is_accepted = matches!(verdict, Verdict::Accepted { .. });
        if is_accepted {
            self.version += 1;
            let document = document_of(change);
            self.recorded_at.insert(change.document.clone(), at);
            self.documents.insert(change.document.clone(), document);
        }
        self.store_verdict(change.id, verdict);
        is_accepted
    }

    /// Returns whether `change` is a repeat of the one that produced the present document.
    fn is_in_force(&self, change: &Change) -> bool {
        self.documents.get(&change.document).is_some_and(|d| d.change == change.id)
    }

    fn evaluate(&self, change: &Change, check: &dyn DocumentCheck) -> Verdict {
        let current = self.documents.get(&change.document);
        let version = current.map_or(0, |d| d.version);
        if change.expected_version != version {
            let author = current.map(|d| d.author.clone());
            return Verdict::Stale(Stale { current: version, author });
        }
        let mut next = self.documents.clone();
        next.insert(change.document.clone(), document_of(change));
        match check.check(&self.documents, &next) {
            Ok(()) => Verdict::Accepted { version: version + 1, total: self.version + 1 },
            Err(reason) => Verdict::Invalid(reason),
        }
    }

    fn store_verdict(&mut self, id: ChangeId, verdict: Verdict) {
        if self.decided_changes.len() >= MAX_VERDICTS
            && let Some(oldest) = self.decided_changes.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.decided_changes.push_back(id);
        self.verdicts.insert(id, verdict);
    }

    fn apply_snapshot(
        &mut self,
        at: WallTime,
        snapshot: &Snapshot,
        check: &dyn DocumentCheck,
    ) -> bool {
        let before = self.version;
        self.close_gap(snapshot, check);
        self.set_recorded_at(at, snapshot);
        self.version > before
    }

    /// Closes the gap if `snapshot` reaches up to the oldest record that the log still has.
    fn close_gap(&mut self, snapshot: &Snapshot, check: &dyn DocumentCheck) {
        let is_usable = self.gap.as_ref().is_some_and(|gap| snapshot.next_offset >= gap.oldest);
        if !is_usable || snapshot.version < self.version {
            return;
        }
        self.replace_with(snapshot);
        self.next_offset = self.next_offset.max(snapshot.next_offset);
        let deferred = self.gap.take().map(|gap| gap.deferred).unwrap_or_default();
        for (offset, at, change) in deferred {
            if offset >= snapshot.next_offset {
                self.decide(at, &change, check);
            }
        }
    }

    fn replace_with(&mut self, snapshot: &Snapshot) {
        self.version = snapshot.version;
        self.documents = snapshot.documents.iter().cloned().collect();
    }

    fn set_recorded_at(&mut self, at: WallTime, snapshot: &Snapshot) {
        for (id, document) in &snapshot.documents {
            if self.documents.get(id).is_some_and(|d| d.version == document.version) {
                self.recorded_at.insert(id.clone(), at);
            }
        }
    }
}

fn document_of(change: &Change) -> Document {
    Document {
        version: change.expected_version + 1,
        change: change.id,
        author: change.author.clone(),
        text: change.text.clone(),
    }
}

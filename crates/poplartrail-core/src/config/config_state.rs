//! The fold of the configuration stream.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    time::Duration,
};

use crate::{
    config::{Change, ChangeId, Document, DocumentCheck, DocumentId, Snapshot, Stale, Verdict},
    time::WallTime,
};

/// Verdicts that are kept for operators who ask.
const MAX_VERDICTS: usize = 4096;

/// One record of the configuration stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigRecord {
    /// An operator's change.
    Change(Change),
    /// A node's repeat of the present state, so that it outlasts the log's retention.
    Snapshot(Snapshot),
}

/// Documents in force, with what is needed to judge the next change.
#[derive(Debug, Clone)]
pub struct ConfigState {
    next_offset: u64,
    version: u64,
    documents: BTreeMap<DocumentId, Document>,
    carried_at: BTreeMap<DocumentId, WallTime>,
    verdicts: HashMap<ChangeId, Verdict>,
    verdict_order: VecDeque<ChangeId>,
    gap: Option<Gap>,
}

/// Records are missing between the state and the oldest one that the log still has.
#[derive(Debug, Clone)]
struct Gap {
    oldest: u64,
    held_back: Vec<(u64, WallTime, Change)>,
}

impl Default for ConfigState {
    fn default() -> Self {
        Self::new()
    }
}

impl ConfigState {
    /// The state before the first record.
    pub fn new() -> Self {
        Self {
            next_offset: 0,
            version: 0,
            documents: BTreeMap::new(),
            carried_at: BTreeMap::new(),
            verdicts: HashMap::new(),
            verdict_order: VecDeque::new(),
            gap: None,
        }
    }

    /// Offset of the next record to fold.
    pub fn next_offset(&self) -> u64 {
        self.next_offset
    }

    /// Number of accepted changes of all documents.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Documents in force.
    pub fn documents(&self) -> &BTreeMap<DocumentId, Document> {
        &self.documents
    }

    /// Whether records are missing, so that changes cannot be judged yet.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// What became of the change `id`, if it is among those folded here.
    pub fn verdict(&self, id: ChangeId) -> Option<&Verdict> {
        self.verdicts.get(&id)
    }

    /// States the oldest offset that the log still has.
    pub fn observe_oldest(&mut self, oldest: u64) {
        if oldest > self.next_offset {
            self.next_offset = oldest;
            match &mut self.gap {
                Some(gap) => gap.oldest = oldest,
                None => self.gap = Some(Gap { oldest, held_back: Vec::new() }),
            }
        }
    }

    /// Folds one record and returns whether the documents changed.
    pub fn apply(
        &mut self,
        offset: u64,
        at: WallTime,
        step: &ConfigRecord,
        check: &dyn DocumentCheck,
    ) -> bool {
        if offset < self.next_offset {
            return false;
        }
        self.next_offset = offset + 1;
        match step {
            ConfigRecord::Change(change) => match &mut self.gap {
                Some(gap) => {
                    gap.held_back.push((offset, at, change.clone()));
                    false
                }
                None => self.judge(at, change, check),
            },
            ConfigRecord::Snapshot(snapshot) => self.take_in(at, snapshot, check),
        }
    }

    /// Takes over a state that another node sent, if it is ahead of this one.
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
                self.replace_by(snapshot);
            }
        } else if snapshot.next_offset > self.next_offset {
            self.replace_by(snapshot);
            self.next_offset = snapshot.next_offset;
        }
        self.version > before
    }

    /// The state, to be appended to the log or sent to another node.
    pub fn snapshot(&self) -> Option<Snapshot> {
        if self.gap.is_some() || self.version == 0 {
            return None;
        }
        let documents = self.documents.iter().map(|(id, d)| (id.clone(), d.clone())).collect();
        Some(Snapshot {
            next_offset: self.next_offset,
            version: self.version,
            documents,
            site_document: None,
        })
    }

    /// Whether a document would soon be in no record that the log keeps.
    pub fn needs_snapshot(&self, log_now: WallTime, retention: Duration) -> bool {
        self.gap.is_none()
            && self.documents.keys().any(|id| match self.carried_at.get(id) {
                Some(at) => log_now.since(*at) > retention / 2,
                None => true,
            })
    }

    fn judge(&mut self, at: WallTime, change: &Change, check: &dyn DocumentCheck) -> bool {
        if self.verdicts.contains_key(&change.id) || self.is_in_force(change) {
            return false;
        }
        let verdict = self.verdict_on(change, check);
        let is_accepted = matches!(verdict, Verdict::Accepted { .. });
        if is_accepted {
            self.version += 1;
            let document = document_of(change);
            self.carried_at.insert(change.document.clone(), at);
            self.documents.insert(change.document.clone(), document);
        }
        self.remember(change.id, verdict);
        is_accepted
    }

    /// Whether `change` is a repeat of the one that made the present document.
    fn is_in_force(&self, change: &Change) -> bool {
        self.documents.get(&change.document).is_some_and(|d| d.change == change.id)
    }

    fn verdict_on(&self, change: &Change, check: &dyn DocumentCheck) -> Verdict {
        let current = self.documents.get(&change.document);
        let version = current.map_or(0, |d| d.version);
        if change.expected_version != version {
            let author = current.map(|d| d.author.clone());
            return Verdict::Stale(Stale { current: version, author });
        }
        let mut after = self.documents.clone();
        after.insert(change.document.clone(), document_of(change));
        match check.check(&self.documents, &after) {
            Ok(()) => Verdict::Accepted { version: version + 1, total: self.version + 1 },
            Err(why) => Verdict::Invalid(why),
        }
    }

    fn remember(&mut self, id: ChangeId, verdict: Verdict) {
        if self.verdict_order.len() >= MAX_VERDICTS
            && let Some(oldest) = self.verdict_order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
        self.verdict_order.push_back(id);
        self.verdicts.insert(id, verdict);
    }

    fn take_in(&mut self, at: WallTime, snapshot: &Snapshot, check: &dyn DocumentCheck) -> bool {
        let before = self.version;
        self.close_gap(snapshot, check);
        self.note_carried(at, snapshot);
        self.version > before
    }

    /// Ends the gap if `snapshot` reaches up to the records that the log still has.
    fn close_gap(&mut self, snapshot: &Snapshot, check: &dyn DocumentCheck) {
        let is_usable = self.gap.as_ref().is_some_and(|gap| snapshot.next_offset >= gap.oldest);
        if !is_usable || snapshot.version < self.version {
            return;
        }
        self.replace_by(snapshot);
        self.next_offset = self.next_offset.max(snapshot.next_offset);
        let held_back = self.gap.take().map(|gap| gap.held_back).unwrap_or_default();
        for (offset, at, change) in held_back {
            if offset >= snapshot.next_offset {
                self.judge(at, &change, check);
            }
        }
    }

    fn replace_by(&mut self, snapshot: &Snapshot) {
        self.version = snapshot.version;
        self.documents = snapshot.documents.iter().cloned().collect();
    }

    fn note_carried(&mut self, at: WallTime, snapshot: &Snapshot) {
        for (id, document) in &snapshot.documents {
            if self.documents.get(id).is_some_and(|d| d.version == document.version) {
                self.carried_at.insert(id.clone(), at);
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

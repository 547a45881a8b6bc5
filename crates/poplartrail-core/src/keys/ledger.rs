//! Outcomes of the keys that a holder has accepted.

use std::collections::BTreeMap;

use crate::{call::Answer, keys::IdempotencyKey, time::WallTime};

/// Memory accounted for one entry without its answer, in bytes.
const ENTRY_BYTES: usize = 96;

/// State of a key in the ledger.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// The key is not in the ledger: it has not been dispatched here.
    New,
    /// A call with the key is in progress.
    Running,
    /// The call with the key returned this answer.
    Done(Answer),
    /// The call with the key was dispatched, and its answer was lost.
    AnswerLost,
    /// The key was used before with a request of another fingerprint.
    RequestMismatch,
}

#[derive(Debug)]
enum EntryState {
    Running,
    Done(Answer),
    AnswerLost,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    state: EntryState,
}

/// Keys with their outcomes, from just before the dispatch until the key window has passed.
#[derive(Debug)]
pub struct Ledger {
    entries: BTreeMap<IdempotencyKey, Entry>,
    bytes: usize,
    max_bytes: usize,
    floor: WallTime,
}

impl Ledger {
    /// Creates an empty ledger that may occupy `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { entries: BTreeMap::new(), bytes: 0, max_bytes, floor: WallTime::default() }
    }

    /// Returns the mint time up to which finished keys have been removed.
    pub fn floor(&self) -> WallTime {
        self.floor
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there is no key.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the memory accounted for all entries, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether one more entry fits into the memory limit.
    pub fn has_room(&self) -> bool {
        self.bytes + ENTRY_BYTES <= self.max_bytes
    }

    /// Returns the state of `key` for a request of this `fingerprint`.
    pub fn look_up(&self, key: IdempotencyKey, fingerprint: u64) -> KeyState {
        match self.entries.get(&key) {
            None => KeyState::New,
            Some(entry) if entry.fingerprint != fingerprint => KeyState::RequestMismatch,
            Some(entry) => match &entry.state {
                EntryState::Running => KeyState::Running,
                EntryState::Done(answer) => KeyState::Done(answer.clone()),
                EntryState::AnswerLost => KeyState::AnswerLost,
            },
        }
    }

    /// Records that `key` is about to be dispatched.
    pub fn record_dispatch(&mut self, key: IdempotencyKey, fingerprint: u64) {
        let entry = Entry { fingerprint, state: EntryState::Running };
        let previous = self.entries.insert(key, entry);
        debug_assert!(previous.is_none(), "a key is dispatched once");
        self.bytes += ENTRY_BYTES;
    }

    /// Records the answer of a key that ran.
    pub fn record_answer(&mut self, key: IdempotencyKey, answer: Answer) {
        if let Some(entry) = self.entries.get_mut(&key) {
            self.bytes += answer.size();
            entry.state = EntryState::Done(answer);
        }
    }

    /// Records that the answer of a dispatched key was lost.
    pub fn mark_answer_lost(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.state = EntryState::AnswerLost;
        }
    }

    /// Removes a key that was not dispatched after all.
    pub fn cancel(&mut self, key: IdempotencyKey) {
        if self.entries.remove(&key).is_some() {
            self.bytes -= ENTRY_BYTES;
        }
    }

    /// Removes finished keys minted at or before `floor`. Keys that old are refused from now on.
    pub fn expire_until(&mut self, floor: WallTime) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        while let Some(entry) = self.entries.first_entry() {
            if entry.key().minted_at() > floor || matches!(entry.get().state, EntryState::Running) {
                break;
            }
            let removed = entry.remove();
            self.bytes -= ENTRY_BYTES;
            if let EntryState::Done(answer) = removed.state {
                self.bytes -= answer.size();
            }
        }
    }
}

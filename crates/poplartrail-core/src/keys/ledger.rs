//! Outcomes of the keys that a holder has accepted.

use std::collections::BTreeMap;

use crate::{call::Answer, keys::IdempotencyKey, time::WallTime};

/// Memory of one entry without its answer, in bytes.
const ENTRY_BYTES: usize = 96;

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// The key has not been dispatched here.
    New,
    /// The key is running.
    Running,
    /// The key ran with this answer.
    Done(Answer),
    /// The key was dispatched and its answer was lost.
    AnswerLost,
    /// The key was used with another request.
    RequestMismatch,
}

#[derive(Debug)]
enum Record {
    Running,
    Done(Answer),
    AnswerLost,
}

#[derive(Debug)]
struct Entry {
    fingerprint: u64,
    record: Record,
}

/// Remembers keys from before their dispatch until they leave the window.
#[derive(Debug)]
pub struct Ledger {
    entries: BTreeMap<IdempotencyKey, Entry>,
    bytes: usize,
    max_bytes: usize,
    floor: WallTime,
}

impl Ledger {
    /// An empty ledger that may occupy `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        Self { entries: BTreeMap::new(), bytes: 0, max_bytes, floor: WallTime::default() }
    }

    /// Keys minted at or before this time are no longer remembered.
    pub fn floor(&self) -> WallTime {
        self.floor
    }

    /// Number of keys remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes occupied, as accounted.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether one more entry fits.
    pub fn has_room(&self) -> bool {
        self.bytes + ENTRY_BYTES <= self.max_bytes
    }

    /// What is known of `key`, used with a request of this `fingerprint`.
    pub fn look_up(&self, key: IdempotencyKey, fingerprint: u64) -> KeyState {
        match self.entries.get(&key) {
            None => KeyState::New,
            Some(entry) if entry.fingerprint != fingerprint => KeyState::RequestMismatch,
            Some(entry) => match &entry.record {
                Record::Running => KeyState::Running,
                Record::Done(answer) => KeyState::Done(answer.clone()),
                Record::AnswerLost => KeyState::AnswerLost,
            },
        }
    }

    /// Notes that `key` is about to be dispatched.
    pub fn begin(&mut self, key: IdempotencyKey, fingerprint: u64) {
        let entry = Entry { fingerprint, record: Record::Running };
        let previous = self.entries.insert(key, entry);
        debug_assert!(previous.is_none(), "a key begins once");
        self.bytes += ENTRY_BYTES;
    }

    /// Notes the answer of a key that ran.
    pub fn finish(&mut self, key: IdempotencyKey, answer: Answer) {
        if let Some(entry) = self.entries.get_mut(&key) {
            self.bytes += answer.size();
            entry.record = Record::Done(answer);
        }
    }

    /// Notes that the answer of a dispatched key was lost.
    pub fn mark_answer_lost(&mut self, key: IdempotencyKey) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.record = Record::AnswerLost;
        }
    }

    /// Takes back a key that was not dispatched after all.
    pub fn cancel(&mut self, key: IdempotencyKey) {
        if self.entries.remove(&key).is_some() {
            self.bytes -= ENTRY_BYTES;
        }
    }

    /// Forgets finished keys minted at or before `floor`, which are refused from now on.
    pub fn expire_until(&mut self, floor: WallTime) {
        if floor <= self.floor {
            return;
        }
        self.floor = floor;
        while let Some(entry) = self.entries.first_entry() {
            if entry.key().minted_at() > floor || matches!(entry.get().record, Record::Running) {
                break;
            }
            let gone = entry.remove();
            self.bytes -= ENTRY_BYTES;
            if let Record::Done(answer) = gone.record {
                self.bytes -= answer.size();
            }
        }
    }
}

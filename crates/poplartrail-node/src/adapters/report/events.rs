//! The latest events, kept in memory for the timeline.

use std::collections::VecDeque;

use crate::ports::ReportMessage;

/// An event and its sequence number on this node.
#[derive(Debug)]
pub struct NumberedEvent {
    /// Sequence number, which increases by one with each event.
    pub number: u64,
    /// The event and its time.
    pub message: ReportMessage,
}

/// A bounded log of events, which discards the oldest ones.
#[derive(Debug)]
pub struct EventLog {
    events: VecDeque<NumberedEvent>,
    next: u64,
    max_len: usize,
}

impl EventLog {
    /// Creates an empty log of at most `max_len` events.
    pub fn new(max_len: usize) -> Self {
        Self { events: VecDeque::new(), next: 0, max_len }
    }

    /// Appends an event, and discards the oldest one if the log is full.
    pub fn push(&mut self, message: ReportMessage) {
        if self.events.len() >= self.max_len {
            self.events.pop_front();
        }
        self.events.push_back(NumberedEvent { number: self.next, message });
        self.next += 1;
    }

    /// Returns the events from sequence number `from` on.
    pub fn since(&self, from: u64) -> impl Iterator<Item = &NumberedEvent> {
        self.events.iter().filter(move |event| event.number >= from)
    }
}

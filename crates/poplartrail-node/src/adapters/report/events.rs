//! The newest events, kept in memory for the time line.

use std::collections::VecDeque;

use crate::ports::ReportMessage;

/// An event with its number on this node.
#[derive(Debug)]
pub struct NumberedEvent {
    /// Number that grows by one with each event.
    pub number: u64,
    /// The event.
    pub message: ReportMessage,
}

/// A bounded log of events; the oldest give way.
#[derive(Debug)]
pub struct EventLog {
    events: VecDeque<NumberedEvent>,
    next: u64,
    max_len: usize,
}

impl EventLog {
    /// An empty log for `max_len` events.
    pub fn new(max_len: usize) -> Self {
        Self { events: VecDeque::new(), next: 0, max_len }
    }

    /// Adds an event.
    pub fn push(&mut self, message: ReportMessage) {
        if self.events.len() >= self.max_len {
            self.events.pop_front();
        }
        self.events.push_back(NumberedEvent { number: self.next, message });
        self.next += 1;
    }

    /// Events from number `from` on.
    pub fn since(&self, from: u64) -> impl Iterator<Item = &NumberedEvent> {
        self.events.iter().filter(move |event| event.number >= from)
    }
}

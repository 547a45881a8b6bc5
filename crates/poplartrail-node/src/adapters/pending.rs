//! Replies that tasks of an adapter wait for.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use poplartrail_core::engine::{Input, ReplyHandle, ReplyPort};
use slab::Slab;
use tokio::sync::oneshot;

use crate::ports::{DecideMessage, RingSender};

/// Waiting tasks by ticket, at most as many as the reply ring has room for.
#[derive(Debug)]
pub struct Pending<T> {
    port: ReplyPort,
    max_len: usize,
    slots: Arc<Mutex<Slots<T>>>,
}

#[derive(Debug)]
struct Slots<T> {
    waiting: Slab<(u32, oneshot::Sender<T>)>,
    turn: u32,
}

/// Tells the decide thread when whoever waits for a reply leaves before it has come.
pub(crate) struct LeaveGuard<'a, T> {
    pending: &'a Pending<T>,
    decide: &'a RingSender<DecideMessage>,
    ticket: ReplyHandle,
}

impl<'a, T> LeaveGuard<'a, T> {
    pub(crate) fn new(
        pending: &'a Pending<T>,
        decide: &'a RingSender<DecideMessage>,
        ticket: ReplyHandle,
    ) -> Self {
        Self { pending, decide, ticket }
    }
}

impl<T> Drop for LeaveGuard<'_, T> {
    fn drop(&mut self) {
        if self.pending.forget(self.ticket) {
            // If the ring is full, the call's deadline ends it.
            drop(self.decide.try_send(DecideMessage::Input(Input::CallerLeft(self.ticket))));
        }
    }
}

impl<T> Clone for Pending<T> {
    fn clone(&self) -> Self {
        Self { port: self.port, max_len: self.max_len, slots: self.slots.clone() }
    }
}

impl<T> Pending<T> {
    /// No task waits; at most `max_len` may.
    pub fn new(port: ReplyPort, max_len: usize) -> Self {
        let slots = Slots { waiting: Slab::new(), turn: 0 };
        Self { port, max_len, slots: Arc::new(Mutex::new(slots)) }
    }

    /// Adds a waiting task, or returns `None` if there are too many.
    pub fn wait(&self) -> Option<(ReplyHandle, oneshot::Receiver<T>)> {
        let mut slots = self.lock();
        if slots.waiting.len() >= self.max_len {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        slots.turn = slots.turn.wrapping_add(1);
        let turn = slots.turn;
        let at = slots.waiting.insert((turn, tx));
        Some((ReplyHandle { port: self.port, id: u64::from(turn) << 32 | at as u64 }, rx))
    }

    /// Wakes the task that waits for `ticket`, if it still does.
    pub fn fulfil(&self, ticket: ReplyHandle, reply: T) {
        if let Some(tx) = self.take(ticket) {
            // The task may have gone in the meantime.
            drop(tx.send(reply));
        }
    }

    /// Takes a task out that waits no longer. Returns whether it was still waiting.
    pub fn forget(&self, ticket: ReplyHandle) -> bool {
        self.take(ticket).is_some()
    }

    fn take(&self, ticket: ReplyHandle) -> Option<oneshot::Sender<T>> {
        let (turn, at) = ((ticket.id >> 32) as u32, (ticket.id & 0xffff_ffff) as usize);
        let mut slots = self.lock();
        match slots.waiting.get(at) {
            Some((of, _)) if *of == turn => Some(slots.waiting.remove(at).1),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Slots<T>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Matching of the decide thread's replies to the tasks that wait for them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use poplartrail_core::engine::{Input, ReplyHandle, ReplyPort};
use slab::Slab;
use tokio::sync::oneshot;

use crate::ports::{DecideMessage, RingSender};

/// Tasks of one adapter that wait for a reply, by [`ReplyHandle`]; at most as many as the reply
/// ring has room for.
#[derive(Debug)]
pub struct PendingReplies<T> {
    port: ReplyPort,
    max_len: usize,
    waiters: Arc<Mutex<Waiters<T>>>,
}

#[derive(Debug)]
struct Waiters<T> {
    senders: Slab<(u32, oneshot::Sender<T>)>,
    generation: u32,
}

/// Guard of a waiting task. If it is dropped before the reply has arrived, it notifies the decide
/// thread that the caller has left.
pub(crate) struct CancelGuard<'a, T> {
    pending: &'a PendingReplies<T>,
    decide: &'a RingSender<DecideMessage>,
    handle: ReplyHandle,
}

impl<'a, T> CancelGuard<'a, T> {
    pub(crate) fn new(
        pending: &'a PendingReplies<T>,
        decide: &'a RingSender<DecideMessage>,
        handle: ReplyHandle,
    ) -> Self {
        Self { pending, decide, handle }
    }
}

impl<T> Drop for CancelGuard<'_, T> {
    fn drop(&mut self) {
        if self.pending.unregister(self.handle) {
            // If the ring is full, the call goes on until its deadline.
            drop(self.decide.try_send(DecideMessage::Input(Input::CallerLeft(self.handle))));
        }
    }
}

impl<T> Clone for PendingReplies<T> {
    fn clone(&self) -> Self {
        Self { port: self.port, max_len: self.max_len, waiters: self.waiters.clone() }
    }
}

impl<T> PendingReplies<T> {
    /// Creates an empty set of at most `max_len` tasks.
    pub fn new(port: ReplyPort, max_len: usize) -> Self {
        let waiters = Waiters { senders: Slab::new(), generation: 0 };
        Self { port, max_len, waiters: Arc::new(Mutex::new(waiters)) }
    }

    /// Registers a task that is going to wait for a reply. Returns `None` if `max_len` tasks wait
    /// already.
    pub fn register(&self) -> Option<(ReplyHandle, oneshot::Receiver<T>)> {
        let mut waiters = self.lock();
        if waiters.senders.len() >= self.max_len {
            return None;
        }
        let (tx, rx) = oneshot::channel();
        waiters.generation = waiters.generation.wrapping_add(1);
        let generation = waiters.generation;
        let index = waiters.senders.insert((generation, tx));
        Some((ReplyHandle { port: self.port, id: u64::from(generation) << 32 | index as u64 }, rx))
    }

    /// Passes `reply` to the task that waits for `handle`, if there still is one.
    pub fn complete(&self, handle: ReplyHandle, reply: T) {
        if let Some(tx) = self.remove(handle) {
            // Fails if the task has stopped waiting in the meantime.
            drop(tx.send(reply));
        }
    }

    /// Removes a task that no longer waits. Returns whether its reply was still outstanding.
    pub fn unregister(&self, handle: ReplyHandle) -> bool {
        self.remove(handle).is_some()
    }

    fn remove(&self, handle: ReplyHandle) -> Option<oneshot::Sender<T>> {
        let (generation, index) = ((handle.id >> 32) as u32, (handle.id & 0xffff_ffff) as usize);
        let mut waiters = self.lock();
        match waiters.senders.get(index) {
            Some((current, _)) if *current == generation => Some(waiters.senders.remove(index).1),
            _ => None,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Waiters<T>> {
        self.waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

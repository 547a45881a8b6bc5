//! An instance of the platform, whose faults are asked for by the path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread::sleep,
    time::Duration,
};

use poplartrail_http::h1::RequestHead;

use crate::{
    fleet::free_addr,
    hosted::wire::{ServerConnection, response, serve_each},
};

/// An instance on loopback.
///
/// The last part of a path tells how it answers: `ok`, `slow-MS` (after MS milliseconds), `500`,
/// `full` (not run), `unsigned`, `cut` (a part of the body), `extra` (a second answer after the
/// first), `foreign` (the answer to another request first), `lost` (it runs and closes).
#[derive(Debug, Clone)]
pub struct StandInstance {
    addr: SocketAddr,
    id: Arc<str>,
    runs: Arc<Mutex<HashMap<String, Vec<RequestHead>>>>,
    ended: Arc<AtomicUsize>,
}

impl StandInstance {
    /// Starts an instance with the name `id`.
    pub fn start(id: &str) -> Self {
        let instance = Self {
            addr: free_addr(),
            id: Arc::from(id),
            runs: Arc::default(),
            ended: Arc::default(),
        };
        let served = instance.clone();
        serve_each(instance.addr, move |connection| served.serve(connection));
        instance
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Times that the request `id` has run.
    pub fn runs(&self, id: &str) -> usize {
        self.request_heads(id).len()
    }

    /// Heads with which the request `id` arrived to run.
    pub fn request_heads(&self, id: &str) -> Vec<RequestHead> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Requests whose work has come to its end.
    pub fn completed(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }

    /// Requests that have run.
    pub fn total_runs(&self) -> usize {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().map(Vec::len).sum()
    }

    fn serve(&self, mut connection: ServerConnection) {
        while let Some((head, _body)) = connection.next() {
            if !self.answer(&mut connection, &head) {
                return;
            }
        }
    }

    /// Answers a request; `false` ends the connection.
    fn answer(&self, connection: &mut ServerConnection, head: &RequestHead) -> bool {
        let text = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = text("x-request-id").unwrap_or_default().to_owned();
        if text("x-target-instance").is_some_and(|target| target != &*self.id) {
            connection.write(&response(421, &format!("x-request-id: {id}\r\n"), b""));
            return true;
        }
        let path = head.target.split('?').next().unwrap_or_default();
        let how = path.rsplit('/').next().unwrap_or_default();
        let fields = format!("x-request-id: {id}\r\nx-server-signature: s.{id}\r\n");
        if how == "full" {
            let fields = format!("x-request-id: {id}\r\nx-not-executed: 1\r\n");
            connection.write(&response(503, &fields, b""));
            return true;
        }
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.entry(id.clone()).or_default().push(head.clone());
        drop(runs);
        let body = format!("answer to {id}");
        let whole = response(200, &fields, body.as_bytes());
        match how.strip_prefix("slow-").and_then(|millis| millis.parse().ok()) {
            Some(millis) => sleep(Duration::from_millis(millis)),
            None if how == "lost" => return false,
            None if how == "cut" => {
                connection.write(&whole[..whole.len() - 3]);
                return false;
            }
            None if how == "foreign" => {
                let other = "x-request-id: ffff\r\nx-server-signature: s.ffff\r\n";
                connection.write(&response(200, other, b"answer to ffff"));
            }
            None => {}
        }
        self.ended.fetch_add(1, Ordering::SeqCst);
        match how {
            "500" => connection.write(&response(500, &fields, b"failed")),
            "unsigned" => {
                let fields = format!("x-request-id: {id}\r\n");
                connection.write(&response(200, &fields, b"whose?"));
            }
            "extra" => {
                connection.write(&whole);
                connection.write(&whole);
            }
            _ => connection.write(&whole),
        }
        true
    }
}

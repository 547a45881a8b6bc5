//! The platform's store, with its faults as switches.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::json;

use crate::{
    fleet::free_addr,
    hosted::wire::{ServerConnection, response, serve_each},
};

/// Time for which a silent store holds a connection.
const SILENCE: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Record {
    offset: u64,
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Debug, Default)]
struct Topic {
    end: u64,
    /// Offset of the oldest record that can still be read in order.
    first: u64,
    records: Vec<Record>,
    epochs: HashMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    is_down: bool,
    is_silent: bool,
    lost_answers: u32,
    appends: u32,
}

/// A store on loopback.
#[derive(Debug, Clone)]
pub struct StandStore {
    addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl StandStore {
    /// Starts an empty store.
    pub fn start() -> Self {
        let store = Self { addr: free_addr(), state: Arc::default() };
        let served = store.clone();
        serve_each(store.addr, move |connection| served.serve(connection));
        store
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Writes the site's configuration, as the operators do.
    pub fn publish(&self, document: &str) {
        self.put("keyed.op", b"config", document.as_bytes());
    }

    /// Writes a record, as any writer may.
    pub fn put(&self, topic: &str, key: &[u8], value: &[u8]) {
        self.lock().topics.entry(topic.to_owned()).or_default().add(key, value);
        self.state.1.notify_all();
    }

    /// Sets whether every call is refused.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Sets whether calls, those that wait included, stay without any answer.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Loses the answers of the next `count` appends, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lock().lost_answers = count;
    }

    /// Forgets the history of every topic; the newest record of each key stays.
    pub fn compact(&self) {
        for topic in self.lock().topics.values_mut() {
            topic.first = topic.end;
        }
        self.state.1.notify_all();
    }

    /// Appends that took effect.
    pub fn appends(&self) -> u32 {
        self.lock().appends
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &[u8]) -> Option<Vec<u8>> {
        let state = self.lock();
        let records = &state.topics.get(topic)?.records;
        records.iter().rev().find(|record| record.key == key).map(|record| record.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut connection: ServerConnection) {
        while let Some((head, body)) = connection.next() {
            let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            if self.lock().is_down {
                connection.write(&response(503, "", b""));
                continue;
            }
            let answer = match path {
                "/-/log-append" => self.append(&query, &body),
                "/-/log-read" => self.read(&query),
                "/-/log-newest" => Some(self.read_newest(&query)),
                _ => Some(response(404, "", b"")),
            };
            if self.lock().is_silent {
                sleep(SILENCE);
            }
            match answer {
                Some(answer) => connection.write(&answer),
                None => sleep(SILENCE),
            }
        }
    }

    fn append(&self, query: &HashMap<&str, &str>, body: &[u8]) -> Option<Vec<u8>> {
        let mut state = self.lock();
        let topic = state.topics.entry(query["topic"].to_owned()).or_default();
        let epoch: u64 = query["epoch"].parse().expect("an epoch is a number");
        let known = topic.epochs.entry(query["producer"].to_owned()).or_default();
        if epoch < *known {
            return Some(response(409, "", b"{\"why\":\"fenced\"}"));
        }
        *known = epoch;
        let key_len = usize::from(body[4]);
        topic.add(&body[5..5 + key_len], &body[5 + key_len..]);
        let end = topic.end;
        state.appends += 1;
        let is_lost = state.lost_answers > 0;
        state.lost_answers = state.lost_answers.saturating_sub(1);
        drop(state);
        self.state.1.notify_all();
        let body = json!({ "offset": end - 1, "end": end }).to_string();
        (!is_lost).then(|| response(200, "", body.as_bytes()))
    }

    fn read(&self, query: &HashMap<&str, &str>) -> Option<Vec<u8>> {
        let from: u64 = query["from"].parse().expect("an offset is a number");
        let wait: u64 = query["wait-ms"].parse().expect("a wait is a number");
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = self.lock();
        loop {
            let topic = state.topics.entry(query["topic"].to_owned()).or_default();
            if from < topic.first {
                let body = json!({ "first": topic.first }).to_string();
                return Some(response(410, "", body.as_bytes()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if topic.end > from || left.is_zero() {
                return Some(response(200, "", &topic.bytes_from(from)));
            }
            let woken = self.state.1.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
            if state.is_silent {
                return None;
            }
        }
    }

    fn read_newest(&self, query: &HashMap<&str, &str>) -> Vec<u8> {
        let state = self.lock();
        let Some(topic) = state.topics.get(query["topic"]) else { return response(404, "", b"") };
        let mut newest: HashMap<&[u8], &Record> = HashMap::new();
        for record in &topic.records {
            newest.insert(&record.key, record);
        }
        let items: Vec<_> = newest
            .values()
            .map(|record| {
                json!({
                    "key": String::from_utf8_lossy(&record.key),
                    "value": BASE64_STANDARD.encode(&record.value),
                    "offset": record.offset,
                })
            })
            .collect();
        let body = json!({ "items": items, "has-more": false, "end": topic.end });
        response(200, "", body.to_string().as_bytes())
    }
}

impl Topic {
    fn add(&mut self, key: &[u8], value: &[u8]) {
        let record = Record { offset: self.end, key: key.to_vec(), value: value.to_vec() };
        self.records.push(record);
        self.end += 1;
    }

    fn bytes_from(&self, from: u64) -> Vec<u8> {
        let mut out = self.end.to_be_bytes().to_vec();
        out.extend(self.first.to_be_bytes());
        for record in self.records.iter().filter(|record| record.offset >= from) {
            let len = 1 + record.key.len() + record.value.len();
            out.extend((len as u32).to_be_bytes());
            out.push(record.key.len() as u8);
            out.extend(&record.key);
            out.extend(&record.value);
        }
        out
    }
}

//! A stand-in for the store of the hosting platform, with faults that tests switch on.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::sleep,
    time::{Duration, Instant},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use serde_json::json;

use crate::{
    fleet::free_addr,
    hosted::wire::{ServerConnection, response, serve_connections},
};

/// Time for which a response is withheld while the store is silent, or when a test wants it lost.
const SILENCE_DURATION: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Record {
    offset: u64,
    key: Vec<u8>,
    value: Vec<u8>,
}

#[derive(Debug, Clone, Default)]
struct Topic {
    /// Offset of the next record.
    end: u64,
    /// Offset of the oldest record that can still be read by offset.
    first: u64,
    records: Vec<Record>,
    /// Newest epoch of each producer; appends of an older epoch are fenced.
    epochs: HashMap<String, u64>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    is_down: bool,
    is_silent: bool,
    lost_responses: u32,
    /// Topics whose requests get status 503.
    down_topics: HashSet<String>,
    append_delay: Duration,
    appends: u32,
    /// Reads by offset that have begun, by topic.
    reads: HashMap<String, u32>,
    /// Times that the store has come back from a copy.
    restores: u64,
    /// Era that all responses state; `None` for the number of restores.
    stated_era: Option<String>,
}

/// Copy of all topics of a [`StandStore`] at one moment.
#[derive(Debug, Clone)]
pub struct StoreCopy(HashMap<String, Topic>);

/// A stand-in store on loopback.
#[derive(Debug, Clone)]
pub struct StandStore {
    addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl StandStore {
    /// Starts an empty store on a free port.
    pub fn start() -> Self {
        let store = Self { addr: free_addr(), state: Arc::default() };
        let server = store.clone();
        serve_connections(store.addr, move |connection| server.serve(connection));
        store
    }

    /// Address where the store accepts requests.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the number of reads of `topic` by offset that have begun.
    pub fn reads(&self, topic: &str) -> u32 {
        self.lock().reads.get(topic).copied().unwrap_or_default()
    }

    /// Returns the number of reads by offset that have begun.
    pub fn total_reads(&self) -> u32 {
        self.lock().reads.values().sum()
    }

    /// Publishes the configuration of the site, as operators do.
    pub fn publish(&self, document: &str) {
        self.put("keyed.op", b"config", document.as_bytes());
    }

    /// Appends a record on behalf of any writer; no epoch is checked.
    pub fn put(&self, topic: &str, key: &[u8], value: &[u8]) {
        self.lock().topics.entry(topic.to_owned()).or_default().add(key, value);
        self.state.1.notify_all();
    }

    /// Sets whether every request gets status 503.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
    }

    /// Sets whether every request for `topic` gets status 503.
    pub fn set_topic_down(&self, topic: &str, is_down: bool) {
        let down_topics = &mut self.lock().down_topics;
        if is_down {
            down_topics.insert(topic.to_owned());
        } else {
            down_topics.remove(topic);
        }
    }

    /// Delays each append by `delay` before it takes effect.
    pub fn set_append_delay(&self, delay: Duration) {
        self.lock().append_delay = delay;
    }

    /// Sets whether requests, including reads that are waiting, stay without a response.
    pub fn set_silent(&self, is_silent: bool) {
        self.lock().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Makes the next `count` appends take effect without a response.
    pub fn lose_responses(&self, count: u32) {
        self.lock().lost_responses = count;
    }

    /// Discards the history of every topic.
    ///
    /// Reads from an earlier offset get status 410; the newest record of each key stays readable.
    pub fn compact(&self) {
        for topic in self.lock().topics.values_mut() {
            topic.first = topic.end;
        }
        self.state.1.notify_all();
    }

    /// Copies all topics as they are.
    pub fn copy(&self) -> StoreCopy {
        StoreCopy(self.lock().topics.clone())
    }

    /// Comes back from `copy` in a new era, and has the records of `rewritten` appended before it
    /// serves any request: topic, key and value of each.
    pub fn restore(&self, copy: &StoreCopy, rewritten: &[(&str, &[u8], &[u8])]) {
        let mut state = self.lock();
        state.topics = copy.0.clone();
        state.restores += 1;
        for (topic, key, value) in rewritten {
            state.topics.entry((*topic).to_owned()).or_default().add(key, value);
        }
        drop(state);
        self.state.1.notify_all();
    }

    /// Makes all responses state `era`, whatever the number of restores.
    pub fn set_era(&self, era: &str) {
        self.lock().stated_era = Some(era.to_owned());
    }

    /// Returns the number of append requests that took effect, including those without a response.
    pub fn appends(&self) -> u32 {
        self.lock().appends
    }

    /// Returns the newest value of `key`, or `None` if there is none.
    pub fn newest(&self, topic: &str, key: &[u8]) -> Option<Vec<u8>> {
        let state = self.lock();
        let records = &state.topics.get(topic)?.records;
        records.iter().rev().find(|record| record.key == key).map(|record| record.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, mut connection: ServerConnection) {
        while let Some((head, body)) = connection.next_request() {
            let (path, query) = head.target.split_once('?').unwrap_or((&head.target, ""));
            let query: HashMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let is_topic_down = |topic: &&str| self.lock().down_topics.contains(*topic);
            if self.lock().is_down || query.get("topic").is_some_and(is_topic_down) {
                connection.write(&self.with_era(&response(503, "", b"")));
                continue;
            }
            let response = match path {
                "/-/log-append" => self.append(&query, &body),
                "/-/log-read" => self.read(&query),
                "/-/log-newest" => Some(self.read_newest(&query)),
                _ => Some(response(404, "", b"")),
            };
            if self.lock().is_silent {
                sleep(SILENCE_DURATION);
            }
            match response {
                Some(response) => connection.write(&self.with_era(&response)),
                None => sleep(SILENCE_DURATION),
            }
        }
    }

    /// Adds the era to the head of a response.
    fn with_era(&self, response: &[u8]) -> Vec<u8> {
        let state = self.lock();
        let era = state.stated_era.clone().unwrap_or_else(|| state.restores.to_string());
        let first_line = response.iter().position(|byte| *byte == b'\n').map_or(0, |at| at + 1);
        let field = format!("store-era: {era}\r\n");
        [&response[..first_line], field.as_bytes(), &response[first_line..]].concat()
    }

    fn append(&self, query: &HashMap<&str, &str>, body: &[u8]) -> Option<Vec<u8>> {
        let delay = self.lock().append_delay;
        sleep(delay);
        let mut state = self.lock();
        let topic = state.topics.entry(query["topic"].to_owned()).or_default();
        let epoch: u64 = query["epoch"].parse().expect("the epoch should be a number");
        let newest_epoch = topic.epochs.entry(query["producer"].to_owned()).or_default();
        if epoch < *newest_epoch {
            return Some(response(409, "", b"{\"why\":\"fenced\"}"));
        }
        *newest_epoch = epoch;
        let key_len = usize::from(body[4]);
        topic.add(&body[5..5 + key_len], &body[5 + key_len..]);
        let end = topic.end;
        state.appends += 1;
        let is_lost = state.lost_responses > 0;
        state.lost_responses = state.lost_responses.saturating_sub(1);
        drop(state);
        self.state.1.notify_all();
        let body = json!({ "offset": end - 1, "end": end }).to_string();
        (!is_lost).then(|| response(200, "", body.as_bytes()))
    }

    fn read(&self, query: &HashMap<&str, &str>) -> Option<Vec<u8>> {
        let from: u64 = query["from"].parse().expect("the offset should be a number");
        let wait_ms: u64 = query["wait-ms"].parse().expect("the wait should be a number");
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.lock();
        *state.reads.entry(query["topic"].to_owned()).or_default() += 1;
        loop {
            let topic = state.topics.entry(query["topic"].to_owned()).or_default();
            if from < topic.first || from > topic.end {
                let body = json!({ "first": topic.first }).to_string();
                return Some(response(410, "", body.as_bytes()));
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if topic.end > from || remaining.is_zero() {
                return Some(response(200, "", &topic.encode_from(from)));
            }
            let waited = self.state.1.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
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

    fn encode_from(&self, from: u64) -> Vec<u8> {
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

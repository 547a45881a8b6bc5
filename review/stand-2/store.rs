//! The platform's store: a log of topics, as far as a node uses it.

use std::{
    collections::HashMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use super::{
    free_addr,
    http::{Connection, Message, response},
};

/// Last accepted append of a producer: epoch, sequence number and response.
type LastAppend = (u64, u64, Vec<u8>);

#[derive(Default)]
struct Topic {
    /// Records by offset: key and value.
    records: Vec<(Vec<u8>, Vec<u8>)>,
    producers: HashMap<String, LastAppend>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// Whether the store is down: every call is answered with 503 and nothing is done.
    is_down: bool,
}

/// A store on loopback.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let store = Self { addr: free_addr(), state: Arc::default() };
        let listener = TcpListener::bind(store.addr).expect("the store's port should be free");
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the desired state, as the operator does.
    pub fn publish(&self, document: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry("keyed.op".to_owned()).or_default();
        topic.records.push((b"config".to_vec(), document.as_bytes().to_vec()));
        drop(state);
        self.state.1.notify_all();
    }

    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Number of records of `topic`.
    pub fn len(&self, topic: &str) -> usize {
        self.lock().topics.get(topic).map_or(0, |topic| topic.records.len())
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(request) = connection.read_message() {
            let answer = if self.lock().is_down { unavailable() } else { self.answer(&request) };
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let text = |name: &str| query.get(name).copied().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        match path {
            "/-/log-append" => self.append(
                text("topic"),
                text("producer"),
                (number("epoch"), number("seq")),
                &request.body,
            ),
            "/-/log-read" => self.read(text("topic"), number("from"), number("wait-ms")),
            "/-/log-newest" => self.newest(text("topic")),
            _ => response(404, "", b""),
        }
    }

    fn append(&self, topic: &str, producer: &str, order: (u64, u64), body: &[u8]) -> Vec<u8> {
        if topic == "keyed.op" || topic == "keyed.servers" {
            return response(403, "", b"{}");
        }
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        if let Some((epoch, seq, first)) = topic.producers.get(producer) {
            if order.0 < *epoch {
                return response(409, "", b"{\"why\":\"fenced\"}");
            }
            if order == (*epoch, *seq) {
                return first.clone();
            }
            if order.0 == *epoch && order.1 != seq + 1 {
                return response(409, "", b"{\"why\":\"seq\"}");
            }
        }
        let offset = topic.records.len();
        let mut rest = body;
        while rest.len() > 4 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + len];
            let key_len = usize::from(record[0]);
            topic.records.push((record[1..1 + key_len].to_vec(), record[1 + key_len..].to_vec()));
            rest = &rest[4 + len..];
        }
        let answer = format!("{{\"offset\":{offset},\"end\":{}}}", topic.records.len());
        let answer = response(200, "content-type: application/json\r\n", answer.as_bytes());
        topic.producers.insert(producer.to_owned(), (order.0, order.1, answer.clone()));
        drop(state);
        self.state.1.notify_all();
        answer
    }

    fn read(&self, topic: &str, from: u64, wait_ms: u64) -> Vec<u8> {
        let end = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.lock();
        loop {
            if state.is_down {
                return unavailable();
            }
            let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
            let left = end.saturating_duration_since(Instant::now());
            if records.len() as u64 > from || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&(records.len() as u64).to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from as usize) {
                    body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key);
                    body.extend_from_slice(value);
                }
                return response(200, "", &body);
            }
            state =
                self.state.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn newest(&self, topic: &str) -> Vec<u8> {
        let state = self.lock();
        let records = state.topics.get(topic).map_or(&[][..], |topic| &topic.records);
        let mut newest: HashMap<&[u8], usize> = HashMap::new();
        for (offset, (key, _)) in records.iter().enumerate() {
            newest.insert(key, offset);
        }
        let mut offsets: Vec<usize> = newest.into_values().collect();
        offsets.sort_unstable();
        let items: Vec<String> = offsets
            .iter()
            .map(|&offset| {
                let (key, value) = &records[offset];
                let key = String::from_utf8_lossy(key);
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base64(value))
            })
            .collect();
        let body = format!(
            "{{\"items\":[{}],\"has-more\":false,\"end\":{}}}",
            items.join(","),
            records.len()
        );
        response(200, "content-type: application/json\r\n", body.as_bytes())
    }
}

fn unavailable() -> Vec<u8> {
    response(503, "", b"")
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for at in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() { char::from(letter) } else { '=' });
        }
    }
    out
}

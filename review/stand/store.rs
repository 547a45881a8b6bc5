//! The platform's store: a log of topics with one partition each, of which the last record of each
//! key is kept.
//!
//! A test can have the store give no response to one machine while it serves the others. A connection
//! on which a response was withheld then returns nothing further; new connections work once the
//! disruption is over.

use std::{
    collections::{BTreeMap, HashMap},
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    http::{Connection, Message, response},
    record::Record,
};

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    /// Newest epoch of each producer.
    epochs: HashMap<String, u64>,
}

type Topics = HashMap<String, Topic>;

/// The store. Each machine reaches it at an address of its own.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<Topics>, Condvar)>,
    record: Record,
}

/// Access of one machine to the store.
pub struct Access {
    pub addr: SocketAddr,
    is_withheld: Arc<AtomicBool>,
}

impl Access {
    /// Sets whether the machine gets no response.
    pub fn withhold(&self, is_withheld: bool) {
        self.is_withheld.store(is_withheld, Ordering::SeqCst);
    }
}

impl Store {
    pub fn start(record: &Record) -> Self {
        Self { state: Arc::default(), record: record.clone() }
    }

    /// Opens an address for one machine.
    pub fn open(&self, machine: &str) -> Access {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("a bound address");
        let is_withheld = Arc::new(AtomicBool::new(false));
        let (store, flag, machine) = (self.clone(), is_withheld.clone(), machine.to_owned());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, flag, machine) = (store.clone(), flag.clone(), machine.clone());
                thread::spawn(move || store.serve(stream, &flag, &machine));
            }
        });
        Access { addr, is_withheld }
    }

    /// Writes the desired state, as the operator does. The return is the acknowledgement.
    pub fn put_config(&self, document: &str) {
        let mut topics = self.state.0.lock().unwrap();
        let topic = topics.entry("keyed.op".to_owned()).or_default();
        topic.records.push((b"config".to_vec(), document.as_bytes().to_vec()));
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream, is_withheld: &AtomicBool, machine: &str) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            let response = self.handle(&request);
            if is_withheld.load(Ordering::SeqCst) {
                let target = request.word(1);
                self.record.line(format!("store gives no response to {machine}: {target}"));
                // The connection stays open and returns nothing further.
                while connection.stream.read(&mut [0; 1024]).is_ok_and(|len| len > 0) {}
                return;
            }
            if connection.stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.word(1).split_once('?').unwrap_or((request.word(1), ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|pair| pair.split_once('=')).collect();
        let topic = query.get("topic").copied().unwrap_or_default();
        match path {
            "/-/log-append" => self.append(topic, &query, &request.body),
            "/-/log-read" => self.read(topic, &query),
            "/-/log-newest" => self.read_newest(topic),
            _ => response(404, "", b""),
        }
    }

    fn append(&self, topic: &str, query: &HashMap<&str, &str>, body: &[u8]) -> Vec<u8> {
        let mut topics = self.state.0.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        if let (Some(producer), Some(epoch)) = (query.get("producer"), query.get("epoch")) {
            let epoch: u64 = epoch.parse().unwrap_or(0);
            let newest = topic.epochs.entry((*producer).to_owned()).or_default();
            if epoch < *newest {
                return response(409, "", b"{\"why\":\"fenced\"}");
            }
            *newest = epoch;
        }
        let offset = topic.records.len();
        let mut rest = body;
        while rest.len() >= 5 {
            let len = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let (content, after) = rest[4..].split_at(len.min(rest.len() - 4));
            let (key, value) = content[1..].split_at(usize::from(content[0]));
            topic.records.push((key.to_vec(), value.to_vec()));
            rest = after;
        }
        let body = format!("{{\"offset\":{offset},\"end\":{}}}", topic.records.len());
        self.state.1.notify_all();
        response(200, "Content-Type: application/json\r\n", body.as_bytes())
    }

    fn read(&self, topic: &str, query: &HashMap<&str, &str>) -> Vec<u8> {
        let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
        let (from, deadline) =
            (number("from") as usize, Instant::now() + Duration::from_millis(number("wait-ms")));
        let mut topics = self.state.0.lock().unwrap();
        loop {
            let records = &topics.entry(topic.to_owned()).or_default().records;
            let left = deadline.saturating_duration_since(Instant::now());
            if records.len() > from || left.is_zero() {
                let mut out = (records.len() as u64).to_be_bytes().to_vec();
                out.extend(0u64.to_be_bytes());
                for (key, value) in records.iter().skip(from) {
                    out.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    out.push(key.len() as u8);
                    out.extend(key);
                    out.extend(value);
                }
                return response(200, "", &out);
            }
            topics = self.state.1.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn read_newest(&self, topic: &str) -> Vec<u8> {
        let mut topics = self.state.0.lock().unwrap();
        let records = &topics.entry(topic.to_owned()).or_default().records;
        let newest: BTreeMap<&[u8], (usize, &[u8])> = records
            .iter()
            .enumerate()
            .map(|(at, (key, value))| (key.as_slice(), (at, value.as_slice())))
            .collect();
        let items: Vec<String> = newest
            .iter()
            .filter(|(_, (_, value))| !value.is_empty())
            .map(|(key, (offset, value))| {
                let (key, value) = (String::from_utf8_lossy(key), base64(value));
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = records.len();
        let body = format!("{{\"items\":[{}],\"has-more\":false,\"end\":{end}}}", items.join(","));
        response(200, "Content-Type: application/json\r\n", body.as_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let number =
            chunk.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - chunk.len()));
        for at in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() { digit as char } else { '=' });
        }
    }
    out
}

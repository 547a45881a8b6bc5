//! An application instance beside a node.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::{Duration, Instant},
};

use super::{
    free_addr,
    http::{Connection, Message, response},
    record::Record,
};

/// A request that reached the instance.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub at: Instant,
}

/// A sound instance: it runs each request for `work` and answers with `body_len` bytes.
///
/// The path of a request may say otherwise: `/…/ms-MS/len-BYTES/`.
#[derive(Clone)]
pub struct Instance {
    pub addr: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub born_ms: u64,
    runs: Arc<Mutex<Vec<Run>>>,
    finished: Arc<Mutex<Vec<String>>>,
}

impl Instance {
    pub fn start(id: &str, service: &str, zone: &str, record: &Record) -> Self {
        let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let instance = Self {
            addr: free_addr(),
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            born_ms: now.map_or(1, |now| now.as_millis() as u64),
            runs: Arc::default(),
            finished: Arc::default(),
        };
        let listener = TcpListener::bind(instance.addr).expect("the port should be free");
        let (server, record) = (instance.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, record) = (server.clone(), record.clone());
                thread::spawn(move || server.serve(Connection::new(stream), &record));
            }
        });
        instance
    }

    /// Body of a check-in.
    pub fn check_in(&self, state: &str, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":112,\"state\":\"{state}\",\"cold-left-ms\":0,\"seq\":{seq},\"born\":{}}}",
            self.service, self.addr, self.zone, self.born_ms
        )
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether the request `id` has been run to its end.
    pub fn has_finished(&self, id: &str) -> bool {
        self.finished.lock().unwrap_or_else(PoisonError::into_inner).iter().any(|f| f == id)
    }

    fn serve(&self, mut connection: Connection, record: &Record) {
        while let Ok(request) = connection.read_message() {
            let answer = self.answer(&request, record);
            if connection.write(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, record: &Record) -> Vec<u8> {
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        let target = request.target().to_owned();
        if request.field("x-target-instance").is_some_and(|name| name != self.id) {
            record.line(&format!("instance {} answers 421 to request {id}", self.id));
            let fields = format!("x-request-id: {id}\r\nx-instance-id: {}\r\n", self.id);
            return response(421, &fields, b"");
        }
        let run = Run { id: id.clone(), target: target.clone(), at: Instant::now() };
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).push(run);
        record.line(&format!("instance {} runs request {id} ({target})", self.id));
        let part = |prefix: &str| {
            target.split('/').find_map(|part| part.strip_prefix(prefix)?.parse::<u64>().ok())
        };
        thread::sleep(Duration::from_millis(part("ms-").unwrap_or(20)));
        let body = body_of(&id, part("len-").unwrap_or(400) as usize);
        self.finished.lock().unwrap_or_else(PoisonError::into_inner).push(id.clone());
        let fields = format!("x-request-id: {id}\r\nx-server-signature: sig.{id}\r\n");
        response(200, &fields, &body)
    }
}

/// Body of the answer to the request `id`.
pub fn body_of(id: &str, len: usize) -> Vec<u8> {
    id.bytes().chain([b'.']).cycle().take(len).collect()
}

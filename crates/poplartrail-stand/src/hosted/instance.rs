//! A stand-in for a service instance on the hosting platform; the request path selects its fault.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    thread::sleep,
    time::{Duration, Instant},
};

use poplartrail_http::h1::RequestHead;

use crate::{
    fleet::free_addr,
    hosted::wire::{ServerConnection, response, serve_connections},
};

/// Time that an answer of a chosen length takes.
const LONG_ANSWER_DELAY: Duration = Duration::from_millis(300);

/// A stand-in service instance on loopback.
///
/// A request whose `x-target-instance` names another instance gets status 421 and is not run.
/// Otherwise, the last segment of the request path selects the answer:
///
/// - `ok`, or any segment that is not listed: status 200
/// - `slow-MS`: status 200 after MS milliseconds
/// - `kb-SIZE`: status 200 with a body of that many KiB, after 300 ms
/// - `kept`: the longest keep-alive timeout that can be written
/// - `500`: status 500
/// - `full`: status 503, and the request is not run
/// - `status-DIGITS`: that status, which need not be one
/// - `unsigned`: no server signature
/// - `first-BYTES`: the request runs, and the connection is closed after that many bytes of the
///   answer
/// - `cut`: the last bytes of the body are missing, and the connection is closed
/// - `extra`: the answer is sent twice
/// - `foreign`: an answer to another request is sent before the answer
/// - `lost`: the request runs, and the connection is closed without an answer
/// - `again`: the first time, the request is refused and not run; the refusal is written once more
///   at the start of the next request on the connection
/// - `endless-head`, `endless-body`, `endless-trailer`, `endless-interim`: the request runs, and its
///   answer has no end: head, body, trailer or responses before it
/// - `endless-noise`, `endless-chunk`: the request runs, and bytes without end follow that are no
///   answer: instead of a head, or instead of a chunk size
#[derive(Debug, Clone)]
pub struct StandInstance {
    addr: SocketAddr,
    id: Arc<str>,
    runs: Arc<Mutex<HashMap<String, Vec<RequestHead>>>>,
    /// Requests that were refused to be run the next time.
    refused: Arc<Mutex<HashSet<String>>>,
    completed: Arc<AtomicUsize>,
    /// Largest number of bytes that one answer without end has reached.
    longest_answer: Arc<AtomicUsize>,
    /// Header lines that every answer has, each with its line end.
    notice: Arc<Mutex<String>>,
    arrivals: Arc<Mutex<Vec<InstanceArrival>>>,
}

/// Arrival of a request at an instance, whether it was run or not.
#[derive(Debug, Clone)]
pub struct InstanceArrival {
    /// Time of the arrival.
    pub at: Instant,
    /// Service on the VM where the request began.
    pub caller: String,
}

impl StandInstance {
    /// Starts an instance named `id` on a free port.
    pub fn start(id: &str) -> Self {
        let instance = Self {
            addr: free_addr(),
            id: Arc::from(id),
            runs: Arc::default(),
            refused: Arc::default(),
            completed: Arc::default(),
            longest_answer: Arc::default(),
            notice: Arc::default(),
            arrivals: Arc::default(),
        };
        let server = instance.clone();
        serve_connections(instance.addr, move |connection| server.serve(connection));
        instance
    }

    /// Address where the instance accepts requests.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Name of the instance, which its heartbeats and the field `x-target-instance` carry.
    ///
    /// [`HostedNode::send_heartbeat`](super::HostedNode::send_heartbeat) sends the heartbeats.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns how many times the request with the identity `id` has run.
    pub fn runs(&self, id: &str) -> usize {
        self.request_heads(id).len()
    }

    /// Returns the request head of each run of the request with the identity `id`.
    pub fn request_heads(&self, id: &str) -> Vec<RequestHead> {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(id).cloned().unwrap_or_default()
    }

    /// Returns the number of runs whose work has completed.
    ///
    /// `first-BYTES`, `cut` and `lost` runs and requests that were refused without a run are not counted.
    pub fn completed(&self) -> usize {
        self.completed.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes of the longest answer without end, when its connection closed.
    pub fn longest_answer(&self) -> usize {
        self.longest_answer.load(Ordering::SeqCst)
    }

    /// Returns the number of runs of all requests.
    pub fn total_runs(&self) -> usize {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner).values().map(Vec::len).sum()
    }

    /// Sets what all further answers say of the instance: header lines, each with its line end.
    pub fn set_notice(&self, lines: &str) {
        *self.notice.lock().unwrap_or_else(PoisonError::into_inner) = lines.to_owned();
    }

    /// Returns the requests that have arrived, those with status 421 excluded.
    pub fn arrivals(&self) -> Vec<InstanceArrival> {
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn notice(&self) -> String {
        self.notice.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn serve(&self, mut connection: ServerConnection) {
        let mut refusal: Option<Vec<u8>> = None;
        while let Some((head, _body)) = connection.next_request() {
            if let Some(refusal) = refusal.take() {
                connection.write(&refusal);
            }
            if !self.answer(&mut connection, &head, &mut refusal) {
                return;
            }
        }
    }

    fn is_first(&self, id: &str) -> bool {
        self.refused.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned())
    }

    /// Answers a request; returns `false` if the connection is to be closed. Stores a refusal that is
    /// to be written once more.
    fn answer(
        &self,
        connection: &mut ServerConnection,
        head: &RequestHead,
        refusal: &mut Option<Vec<u8>>,
    ) -> bool {
        let field = |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok());
        let id = field("x-request-id").unwrap_or_default().to_owned();
        if field("x-target-instance").is_some_and(|target| target != &*self.id) {
            connection.write(&response(421, &format!("x-request-id: {id}\r\n"), b""));
            return true;
        }
        let caller = field("x-caller-service").unwrap_or_default().to_owned();
        let arrival = InstanceArrival { at: Instant::now(), caller };
        self.arrivals.lock().unwrap_or_else(PoisonError::into_inner).push(arrival);
        let notice = self.notice();
        let path = head.target.split('?').next().unwrap_or_default();
        let scenario = path.rsplit('/').next().unwrap_or_default();
        let fields = format!("x-request-id: {id}\r\nx-server-signature: s.{id}\r\n{notice}");
        if scenario == "full" {
            let fields = format!("x-request-id: {id}\r\nx-not-executed: 1\r\n{notice}");
            connection.write(&response(503, &fields, b""));
            return true;
        }
        if scenario == "again" && self.is_first(&id) {
            let fields = format!("x-request-id: {id}\r\nx-not-executed: 1\r\n");
            connection.write(&response(503, &fields, b""));
            *refusal = Some(response(503, &fields, b""));
            return true;
        }
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.entry(id.clone()).or_default().push(head.clone());
        drop(runs);
        let body = format!("answer to {id}");
        let answer = response(200, &fields, body.as_bytes());
        match scenario.strip_prefix("slow-").and_then(|millis| millis.parse().ok()) {
            Some(millis) => sleep(Duration::from_millis(millis)),
            None if scenario == "lost" => return false,
            None if scenario.starts_with("endless-") => {
                let written = write_without_end(connection, scenario, &id);
                self.longest_answer.fetch_max(written, Ordering::SeqCst);
                return false;
            }
            None if scenario.starts_with("first-") => {
                let len = scenario["first-".len()..].parse().unwrap_or(0);
                connection.write(&answer[..answer.len().min(len)]);
                return false;
            }
            None if scenario == "cut" => {
                connection.write(&answer[..answer.len() - 3]);
                return false;
            }
            None if scenario == "foreign" => {
                let foreign_fields = "x-request-id: ffff\r\nx-server-signature: s.ffff\r\n";
                connection.write(&response(200, foreign_fields, b"answer to ffff"));
            }
            None => {}
        }
        self.completed.fetch_add(1, Ordering::SeqCst);
        match scenario {
            "500" => connection.write(&response(500, &fields, b"failed")),
            _ if scenario.starts_with("kb-") => {
                sleep(LONG_ANSWER_DELAY);
                let size: usize = scenario["kb-".len()..].parse().unwrap_or(0);
                connection.write(&response(200, &fields, &vec![b'k'; size << 10]));
            }
            "kept" => {
                let fields = format!("{fields}keep-alive: timeout={}\r\n", u64::MAX);
                connection.write(&response(200, &fields, body.as_bytes()));
            }
            _ if scenario.starts_with("status-") => {
                let head = format!("HTTP/1.1 {} Status\r\n", &scenario["status-".len()..]);
                let rest = format!("{fields}content-length: {}\r\n\r\n{body}", body.len());
                connection.write((head + &rest).as_bytes());
            }
            "unsigned" => {
                let fields = format!("x-request-id: {id}\r\n");
                connection.write(&response(200, &fields, b"whose?"));
            }
            "extra" => {
                connection.write(&answer);
                connection.write(&answer);
            }
            _ => connection.write(&answer),
        }
        true
    }
}

/// Writes an answer without end until the peer closes the connection, and returns its length.
fn write_without_end(connection: &mut ServerConnection, scenario: &str, id: &str) -> usize {
    let fields = format!("x-request-id: {id}\r\nx-server-signature: s.{id}\r\n");
    let (start, rest) = match scenario {
        "endless-head" => {
            (format!("HTTP/1.1 200 Status\r\n{fields}"), "x-more: more\r\n".repeat(64))
        }
        "endless-trailer" => (
            format!("HTTP/1.1 200 Status\r\n{fields}transfer-encoding: chunked\r\n\r\n0\r\n"),
            "x-more: more\r\n".repeat(64),
        ),
        "endless-interim" => (String::new(), "HTTP/1.1 103 Status\r\n\r\n".repeat(64)),
        "endless-noise" => (String::new(), "\r\n\u{1}\u{7f}noise ".repeat(512)),
        "endless-chunk" => (
            format!("HTTP/1.1 200 Status\r\n{fields}transfer-encoding: chunked\r\n\r\n1;"),
            "more".repeat(4096),
        ),
        _ => (format!("HTTP/1.1 200 Status\r\n{fields}\r\n"), "more".repeat(4096)),
    };
    let mut written = start.len();
    let mut is_open = connection.try_write(start.as_bytes());
    while is_open {
        is_open = connection.try_write(rest.as_bytes());
        written += rest.len();
    }
    written
}

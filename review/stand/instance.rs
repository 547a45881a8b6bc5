//! A service instance, which runs requests and reports to the node beside it.

use std::{
    collections::HashSet,
    io::Write,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use super::{
    http::{Connection, Message, response},
    record::Record,
};

/// Time within which a check-in must be acknowledged.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);

/// One run of a request.
#[derive(Debug, Clone)]
pub struct Run {
    pub at_ms: u64,
    pub id: String,
    pub target: String,
}

/// A sound instance. The last segment of the request's path may be `ms-N`, for N milliseconds of
/// work, or `kb-N`, for a body of N KiB.
#[derive(Clone)]
pub struct Instance {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    pub born: u64,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Requests whose whole answer was handed to the node beside the instance.
    answered: Arc<Mutex<HashSet<String>>>,
    is_gone: Arc<Mutex<bool>>,
    record: Record,
}

impl Instance {
    pub fn start(id: &str, service: &str, zone: &str, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock after 1970");
        let instance = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("a bound address"),
            born: born.as_millis() as u64,
            runs: Arc::default(),
            answered: Arc::default(),
            is_gone: Arc::default(),
            record: record.clone(),
        };
        let server = instance.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *server.is_gone.lock().unwrap() {
                    return;
                }
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        instance
    }

    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().unwrap().iter().any(|run| run.id == id)
    }

    /// Returns whether the whole answer to `id` was written to the node.
    pub fn has_answered(&self, id: &str) -> bool {
        self.answered.lock().unwrap().contains(id)
    }

    /// Ends the instance: it accepts no further connection.
    pub fn exit(&self) {
        *self.is_gone.lock().unwrap() = true;
        let _ = TcpStream::connect(self.addr);
        self.record.line(format!("instance {} of {} exits", self.id, self.service));
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            let answer = self.handle(&request);
            if connection.stream.write_all(&answer).is_err() {
                return;
            }
            let id = request.field("x-request-id").unwrap_or_default();
            self.answered.lock().unwrap().insert(id.to_owned());
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        if request.word(1) == "/health" {
            return response(200, &format!("X-Instance-Id: {}\r\n", self.id), b"");
        }
        let id = request.field("x-request-id").unwrap_or_default().to_owned();
        if request.field("x-target-instance").is_some_and(|target| target != self.id) {
            let fields = format!("X-Request-Id: {id}\r\nX-Instance-Id: {}\r\n", self.id);
            return response(421, &fields, b"");
        }
        let target = request.word(1).to_owned();
        let run = Run { at_ms: self.record.now_ms(), id: id.clone(), target: target.clone() };
        self.runs.lock().unwrap().push(run);
        let (instance, service, method) = (&self.id, &self.service, request.word(0));
        self.record.line(format!("instance {instance} of {service} runs {method} {target} {id}"));
        let segment = target.rsplit('/').next().unwrap_or_default();
        let number = |prefix: &str| segment.strip_prefix(prefix).and_then(|n| n.parse().ok());
        thread::sleep(Duration::from_millis(number("ms-").unwrap_or(0)));
        let body = vec![b'b'; number("kb-").unwrap_or(1) as usize * 1024];
        let fields = format!("X-Request-Id: {id}\r\nX-Server-Signature: {}.{id}\r\n", self.id);
        response(200, &fields, &body)
    }

    /// Returns the body of a check-in.
    pub fn check_in(&self, state: &str, seq: u64) -> String {
        let Self { service, addr, zone, born, .. } = self;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":112,\"state\":\"{state}\",\"cold-left-ms\":0,\
             \"seq\":{seq},\"born\":{born}}}"
        )
    }

    /// Sends a check-in or a deregistration to the node at `control`, and returns the status of the
    /// response, or 0 without one.
    pub fn report(&self, control: SocketAddr, method: &str, body: &str) -> u16 {
        let status = self.try_report(control, method, body).unwrap_or(0);
        self.record.line(format!("instance {} sends {method} {body}: {status}", self.id));
        status
    }

    fn try_report(&self, control: SocketAddr, method: &str, body: &str) -> std::io::Result<u16> {
        let stream = TcpStream::connect_timeout(&control, ACK_TIMEOUT)?;
        stream.set_read_timeout(Some(ACK_TIMEOUT))?;
        let mut connection = Connection::new(stream);
        let head = format!(
            "{method} /-/instances/{} HTTP/1.1\r\nHost: {control}\r\n\
             Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            self.id,
            body.len()
        );
        connection.stream.write_all(head.as_bytes())?;
        connection.stream.write_all(body.as_bytes())?;
        Ok(connection.read_message()?.status())
    }
}

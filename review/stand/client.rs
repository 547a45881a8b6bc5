//! Clients on a machine.

use std::{
    io::{Result, Write},
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    thread::sleep,
    time::{Duration, Instant},
};

use super::http::{Connection, Message};

/// Time within which a client expects a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// A client with one connection to the node of its machine.
pub struct Client(pub Connection);

impl Client {
    pub fn connect(outbound: SocketAddr) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&outbound, CONNECT_TIMEOUT)?;
        Ok(Self(Connection::new(stream)))
    }

    /// Returns a second client on the same connection, to send while this one reads.
    pub fn try_clone(&self) -> Result<Self> {
        Ok(Self(Connection::new(self.0.stream.try_clone()?)))
    }

    /// Bounds the bytes that the kernel receives ahead of the client, as small windows do.
    pub fn set_receive_buffer(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        let fd = self.0.stream.as_raw_fd();
        // SAFETY: the descriptor is open, and the value is an integer of the stated length.
        let result = unsafe { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &raw const bytes, 4) };
        assert_eq!(result, 0, "the receive buffer can be set");
    }

    /// Sends a request with a time limit of `limit_ms`.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
    ) -> Result<()> {
        let length = if method == "GET" { "" } else { "Content-Length: 0\r\n" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {limit_ms}\r\n{length}\r\n"
        );
        self.0.stream.write_all(head.as_bytes())
    }

    /// Sends a request and reads its whole answer; waits no longer than its time limit.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
    ) -> Result<Message> {
        self.0.stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
        self.send(method, host, path, id, limit_ms)?;
        self.0.read_message()
    }

    /// Like [`Client::call`], with a body.
    pub fn call_with_body(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
        body: &[u8],
    ) -> Result<Message> {
        self.0.stream.set_read_timeout(Some(Duration::from_millis(limit_ms)))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {limit_ms}\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        self.0.stream.write_all(head.as_bytes())?;
        self.0.stream.write_all(body)?;
        self.0.read_message()
    }

    /// Reads an answer slowly: at `bytes_per_s` until `slow_until`, then as fast as it comes.
    /// Returns its status, the length that it states, and the number of bytes that arrived before
    /// the connection ended or the answer was complete.
    pub fn read_slowly(&mut self, bytes_per_s: usize, slow_until: Instant) -> (u16, usize, usize) {
        let Ok(head) = self.0.read_head() else { return (0, 0, 0) };
        let (start, len, mut received) = (Instant::now(), head.content_length(), 0);
        while received < len {
            let now = Instant::now();
            let allowed = (now - start).as_secs_f64() * bytes_per_s as f64;
            if now < slow_until && received as f64 > allowed {
                sleep(Duration::from_millis(10));
                continue;
            }
            match self.0.read_some((len - received).min(16 << 10)) {
                Ok(more) => received += more,
                Err(_) => break,
            }
        }
        (head.status(), len, received)
    }
}

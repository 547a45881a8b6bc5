//! A client on the machine of a node.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::AsRawFd,
    time::Duration,
};

use super::http::{Connection, Message};

/// Longest wait for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// One connection of a client.
pub struct Client {
    pub connection: Connection,
}

impl Client {
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { connection: Connection::new(stream) })
    }

    /// Limits the receive buffer, as a link with a small window does.
    pub fn set_receive_buffer(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        let fd = self.connection.stream.as_raw_fd();
        // SAFETY: `fd` is open, and `bytes` outlives the call.
        let result = unsafe { setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
        assert_eq!(result, 0, "the receive buffer should be settable");
    }

    /// Sends a request without waiting for its answer.
    pub fn send(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
    ) -> io::Result<()> {
        let length = if method == "GET" { "" } else { "content-length: 0\r\n" };
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {id}\r\n\
             X-Deadline-Ms: {limit_ms}\r\n{length}\r\n"
        );
        self.connection.write(request.as_bytes())
    }

    /// Sends a request on this connection and waits for its answer.
    pub fn call(
        &mut self,
        method: &str,
        host: &str,
        path: &str,
        id: &str,
        limit_ms: u64,
    ) -> io::Result<Message> {
        self.send(method, host, path, id, limit_ms)?;
        self.connection.read_message()
    }
}

//! A client on the machine of a node.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    os::fd::{AsRawFd, FromRawFd},
    time::Duration,
};

use super::http::{Connection, Message};

/// Longest wait for further bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, addr: *const SockAddr, len: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
}

/// An IPv4 address as the system calls take it.
#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// Limits the receive buffer of a socket, as a link with a small window does. A socket that a listener
/// accepts takes over the limit of the listener.
pub fn set_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the descriptor is open, and `bytes` outlives the call.
    let result = unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    assert_eq!(result, 0, "the receive buffer should be settable");
}

/// Connects with a receive buffer that is limited from the start.
fn connect_with_buffer(addr: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(addr) = addr else { return Err(io::ErrorKind::Unsupported.into()) };
    // SAFETY: plain system call; the descriptor that it returns belongs to `stream` alone.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        TcpStream::from_raw_fd(fd)
    };
    set_receive_buffer(&stream, bytes);
    let raw = SockAddr {
        family: AF_INET as u16,
        port: addr.port().to_be_bytes(),
        ip: addr.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: `raw` is a whole IPv4 address and outlives the call.
    let result = unsafe { connect(stream.as_raw_fd(), &raw, 16) };
    if result == 0 { Ok(stream) } else { Err(io::Error::last_os_error()) }
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

    /// Connects with a receive buffer of about `bytes`.
    pub fn connect_with_buffer(addr: SocketAddr, bytes: i32) -> io::Result<Self> {
        let stream = connect_with_buffer(addr, bytes)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        Ok(Self { connection: Connection::new(stream) })
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

//! A caller on the VM of a node, over one HTTP/1.1 connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::BytesMut;
use http::{HeaderMap, Method};
use poplartrail_http::h1::{BodyDecoder, parse_response_head};

/// Longest wait for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head, and largest body, that a caller reads, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// A response of a node.
#[derive(Debug, Clone)]
pub struct HostedReply {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body as text; bytes that are not UTF-8 are replaced.
    pub body: String,
}

/// One connection of a caller to a node.
#[derive(Debug)]
pub struct HostedCaller {
    stream: TcpStream,
    buf: BytesMut,
}

impl HostedCaller {
    /// Connects to the node at `addr`, which must be listening.
    pub fn connect(addr: SocketAddr) -> Self {
        Self::try_connect(addr).expect("the node should accept connections")
    }

    /// Connects to the node at `addr`; `None` if it is not listening.
    pub fn try_connect(addr: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(addr).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(Self { stream, buf: BytesMut::new() })
    }

    /// Sends a request with the identity `id` and a deadline of 5 s, without reading its response.
    pub fn send(&mut self, method: &str, host: &str, path: &str, id: &str) {
        let length_field = if method == "GET" { "" } else { "content-length: 0\r\n" };
        self.write(
            format!(
                "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\n\
                 x-deadline-ms: 5000\r\n{length_field}\r\n"
            )
            .as_bytes(),
        );
    }

    /// Sends a request and reads the next response; `None` if the connection ends without one.
    pub fn call(&mut self, method: &str, host: &str, path: &str, id: &str) -> Option<HostedReply> {
        self.send(method, host, path, id);
        self.read()
    }

    /// Writes raw bytes. Errors are ignored, as the node may have closed the connection.
    pub fn write(&mut self, bytes: &[u8]) {
        drop(self.stream.write_all(bytes));
    }

    /// Reads the next response; `None` if the connection ends without one or on timeout.
    pub fn read(&mut self) -> Option<HostedReply> {
        let head = loop {
            if let Some(head) = parse_response_head(&mut self.buf, MAX_BYTES).ok()? {
                break head;
            }
            self.fill()?;
        };
        let mut decoder = BodyDecoder::new(head.framing(&Method::GET).ok()?, MAX_BYTES);
        while !decoder.decode(&mut self.buf).ok()? {
            self.fill()?;
        }
        let body = String::from_utf8_lossy(&decoder.into_body()).into_owned();
        Some(HostedReply { status: head.status.as_u16(), headers: head.headers, body })
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 4096];
        let len = self.stream.read(&mut chunk).ok().filter(|len| *len > 0)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Some(())
    }
}

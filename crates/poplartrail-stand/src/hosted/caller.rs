//! A caller on a node's VM.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use bytes::BytesMut;
use http::{HeaderMap, Method};
use poplartrail_http::h1::{BodyDecoder, parse_response_head};

/// Longest wait for an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head and body that a caller takes, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// An answer.
#[derive(Debug, Clone)]
pub struct HostedReply {
    /// The status.
    pub status: u16,
    /// The fields.
    pub headers: HeaderMap,
    /// The body as text.
    pub body: String,
}

/// One connection of a caller.
#[derive(Debug)]
pub struct HostedCaller {
    stream: TcpStream,
    buf: BytesMut,
}

impl HostedCaller {
    /// Connects to a node that listens.
    pub fn connect(to: SocketAddr) -> Self {
        Self::try_connect(to).expect("the node takes connections")
    }

    /// Connects to a node, if it listens.
    pub fn try_connect(to: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect(to).ok()?;
        stream.set_read_timeout(Some(READ_TIMEOUT)).ok()?;
        Some(Self { stream, buf: BytesMut::new() })
    }

    /// Sends a request for `host` and `path` with the identity `id`, without awaiting its answer.
    pub fn send(&mut self, method: &str, host: &str, path: &str, id: &str) {
        let length = if method == "GET" { "" } else { "content-length: 0\r\n" };
        self.write(
            format!(
                "{method} {path} HTTP/1.1\r\nhost: {host}\r\nx-request-id: {id}\r\n\
                 x-deadline-ms: 5000\r\n{length}\r\n"
            )
            .as_bytes(),
        );
    }

    /// Sends a request and reads its answer; `None` if the connection ends without one.
    pub fn ask(&mut self, method: &str, host: &str, path: &str, id: &str) -> Option<HostedReply> {
        self.send(method, host, path, id);
        self.read()
    }

    /// Writes bytes as they are; the node may have closed.
    pub fn write(&mut self, bytes: &[u8]) {
        drop(self.stream.write_all(bytes));
    }

    /// Reads an answer; `None` if the connection ends without one.
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
        let mut part = [0; 4096];
        let len = self.stream.read(&mut part).ok().filter(|len| *len > 0)?;
        self.buf.extend_from_slice(&part[..len]);
        Some(())
    }
}

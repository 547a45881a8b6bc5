//! Blocking HTTP/1.1 server for the stand-ins of the hosting platform.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use bytes::{Bytes, BytesMut};
use poplartrail_http::h1::{BodyDecoder, RequestHead, parse_request_head};

/// Largest head, and largest body, that a stand-in reads, in bytes.
const MAX_BYTES: usize = 32 << 20;

/// One accepted connection of a stand-in.
pub(super) struct ServerConnection {
    pub(super) stream: TcpStream,
    buf: BytesMut,
}

impl ServerConnection {
    /// Reads the next request; `None` at the end of the connection or if the request is malformed.
    pub(super) fn next_request(&mut self) -> Option<(RequestHead, Bytes)> {
        let head = loop {
            if let Some(head) = parse_request_head(&mut self.buf, MAX_BYTES).ok()? {
                break head;
            }
            self.fill()?;
        };
        let mut decoder = BodyDecoder::new(head.framing().ok()?, MAX_BYTES);
        while !decoder.decode(&mut self.buf).ok()? {
            self.fill()?;
        }
        Some((head, decoder.into_body().freeze()))
    }

    /// Writes raw bytes. Errors are ignored, as the peer may have closed the connection.
    pub(super) fn write(&mut self, bytes: &[u8]) {
        drop(self.stream.write_all(bytes));
    }

    /// Writes raw bytes and returns whether the peer may still read them.
    pub(super) fn try_write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 4096];
        let len = self.stream.read(&mut chunk).ok().filter(|len| *len > 0)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Some(())
    }
}

/// Serves each connection to `addr` on its own thread until the test process ends.
pub(super) fn serve_connections(
    addr: SocketAddr,
    serve: impl Fn(ServerConnection) + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(addr).expect("the address of the stand-in should be free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(ServerConnection { stream, buf: BytesMut::new() }));
        }
    });
}

/// Encodes a response; `fields` holds further header lines, each with its line end.
pub(super) fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} Status\r\n{fields}content-length: {}\r\n\r\n", body.len())
            .into_bytes();
    out.extend_from_slice(body);
    out
}

//! Blocking HTTP/1.1 for stand-ins.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
};

use bytes::{Bytes, BytesMut};
use poplartrail_http::h1::{BodyDecoder, RequestHead, parse_request_head};

/// Largest head and body that a stand-in takes, in bytes.
const MAX_BYTES: usize = 1 << 20;

/// One connection as a stand-in reads it.
pub(super) struct ServerConnection {
    pub(super) stream: TcpStream,
    buf: BytesMut,
}

impl ServerConnection {
    /// Reads the next request; `None` at the end of the connection.
    pub(super) fn next(&mut self) -> Option<(RequestHead, Bytes)> {
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

    /// Writes bytes as they are; the other end may have gone.
    pub(super) fn write(&mut self, bytes: &[u8]) {
        drop(self.stream.write_all(bytes));
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = [0; 4096];
        let len = self.stream.read(&mut part).ok().filter(|len| *len > 0)?;
        self.buf.extend_from_slice(&part[..len]);
        Some(())
    }
}

/// Serves each connection to `at` on a thread of its own, for the life of the test.
pub(super) fn serve_each(
    at: SocketAddr,
    serve: impl Fn(ServerConnection) + Clone + Send + 'static,
) {
    let listener = TcpListener::bind(at).expect("the address of a stand-in is free");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(ServerConnection { stream, buf: BytesMut::new() }));
        }
    });
}

/// A response with a body.
pub(super) fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out =
        format!("HTTP/1.1 {status} Status\r\n{fields}content-length: {}\r\n\r\n", body.len())
            .into_bytes();
    out.extend_from_slice(body);
    out
}

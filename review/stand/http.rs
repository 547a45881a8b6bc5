//! Reading of HTTP/1.1 messages from a blocking stream.

use std::{
    io::{Error, ErrorKind, Read, Result},
    net::TcpStream,
};

/// First line, header fields in lower case, and body of a message.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of the first field `name`, which is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// Returns word `at` of the first line: method, target, or status.
    pub fn word(&self, at: usize) -> &str {
        self.start.split(' ').nth(at).unwrap_or_default()
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the length that the head states for the body.
    pub fn content_length(&self) -> usize {
        self.field("content-length").and_then(|value| value.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    /// Reads a head. The body stays unread.
    pub fn read_head(&mut self) -> Result<Message> {
        loop {
            if let Some(len) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..len + 4).collect();
                return Ok(parse_head(&String::from_utf8_lossy(&head)));
            }
            self.fill()?;
        }
    }

    /// Reads a message with its body, whose length the head states.
    pub fn read_message(&mut self) -> Result<Message> {
        let mut message = self.read_head()?;
        let len = message.content_length();
        while self.buf.len() < len {
            self.fill()?;
        }
        message.body = self.buf.drain(..len).collect();
        Ok(message)
    }

    /// Removes and returns up to `max` bytes of a body, reading at most once.
    pub fn read_some(&mut self, max: usize) -> Result<usize> {
        if self.buf.is_empty() {
            self.fill()?;
        }
        let len = self.buf.len().min(max);
        self.buf.drain(..len);
        Ok(len)
    }

    fn fill(&mut self) -> Result<()> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        if len == 0 {
            return Err(Error::new(ErrorKind::UnexpectedEof, "the connection ended"));
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }
}

fn parse_head(text: &str) -> Message {
    let mut lines = text.split("\r\n");
    let start = lines.next().unwrap_or_default().to_owned();
    let fields = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    Message { start, fields: fields.collect(), body: Vec::new() }
}

/// Encodes a response; `fields` holds further lines, each with its line end.
pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let head =
        format!("HTTP/1.1 {status} Status\r\n{fields}Content-Length: {}\r\n\r\n", body.len());
    let mut out = head.into_bytes();
    out.extend_from_slice(body);
    out
}

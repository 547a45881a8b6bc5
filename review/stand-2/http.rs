//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header fields with names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n == name).map(|(_, value)| value.as_str())
    }

    /// Status code of a response, 0 if the status line cannot be read.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// A connection and the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _is_unset = stream.set_nodelay(true).is_err();
        Self { stream, buf: Vec::new() }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads at most `max` bytes; 0 at the end of the connection.
    pub fn fill(&mut self, max: usize) -> io::Result<usize> {
        let mut chunk = vec![0; max];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len)
    }

    /// Number of bytes that were read and not used.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Returns a header field of the message that has begun, once its head is complete.
    pub fn peek_field(&self, name: &str) -> Option<String> {
        let head_len = self.buf.windows(4).position(|w| w == b"\r\n\r\n")?;
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        let mut fields = head.split("\r\n").filter_map(|line| line.split_once(':'));
        let field = fields.find(|(n, _)| n.eq_ignore_ascii_case(name));
        field.map(|(_, value)| value.trim().to_owned())
    }

    /// Removes the next whole message from what was read; `None` if it is not complete.
    pub fn take_message(&mut self) -> Option<Message> {
        let head_len = self.buf.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.buf[..head_len]).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let start = lines.next().unwrap_or_default().to_owned();
        let fields: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length = fields.iter().find(|(name, _)| name == "content-length");
        let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
        if self.buf.len() < head_len + length {
            return None;
        }
        let body = self.buf[head_len..head_len + length].to_vec();
        self.buf.drain(..head_len + length);
        Some(Message { start, fields, body })
    }

    /// Waits for the next whole message.
    pub fn read_message(&mut self) -> io::Result<Message> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(message);
            }
            if self.fill(64 << 10)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
}

/// Encodes a response; `fields` are whole lines with their line ends.
pub fn response(status: u16, fields: &str, body: &[u8]) -> Vec<u8> {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        409 => "Conflict",
        421 => "Misdirected Request",
        _ => "Unavailable",
    };
    let head =
        format!("HTTP/1.1 {status} {reason}\r\n{fields}content-length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

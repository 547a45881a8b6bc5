//! The records.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use poplartrail_wire::generated::{LogAppended, LogCursor, LogEntry, LogPage, LogPages};

/// Records in one page at most.
const PAGE_LEN: usize = 1000;

/// Records of one stream.
#[derive(Debug, Default)]
struct Stream {
    first: u64,
    entries: Vec<LogEntry>,
}

/// All streams, kept in memory for a limited time.
#[derive(Debug)]
pub struct Streams {
    streams: HashMap<String, Stream>,
    retention: Duration,
}

/// The log's own time, in milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Streams {
    /// No record; each will be kept for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { streams: HashMap::new(), retention }
    }

    /// Appends one record.
    pub fn append(&mut self, name: &str, body: Bytes) -> LogAppended {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.first + stream.entries.len() as u64;
        let at_ms = now_ms();
        stream.entries.push(LogEntry { offset, at_ms, body });
        LogAppended { offset, at_ms }
    }

    /// Reads records from each cursor on.
    pub fn read(&mut self, cursors: &[LogCursor]) -> LogPages {
        self.expire();
        let pages = cursors.iter().map(|cursor| self.page(cursor)).collect();
        LogPages { now_ms: now_ms(), pages }
    }

    /// Drops every record that is older than the retention.
    pub fn expire(&mut self) {
        let oldest = now_ms().saturating_sub(self.retention.as_millis() as u64);
        for stream in self.streams.values_mut() {
            let keep = stream.entries.partition_point(|entry| entry.at_ms < oldest);
            stream.first += keep as u64;
            stream.entries.drain(..keep);
        }
    }

    /// Number of records of `name` that have ever been appended.
    pub fn appended(&self, name: &str) -> u64 {
        self.streams.get(name).map_or(0, |stream| stream.first + stream.entries.len() as u64)
    }

    fn page(&self, cursor: &LogCursor) -> LogPage {
        let empty = Stream::default();
        let stream = self.streams.get(&cursor.stream).unwrap_or(&empty);
        let skip = cursor.from.saturating_sub(stream.first) as usize;
        let entries = stream.entries.iter().skip(skip).take(PAGE_LEN).cloned().collect();
        let oldest_at_ms = stream.entries.first().map_or_else(now_ms, |entry| entry.at_ms);
        LogPage { stream: cursor.stream.clone(), oldest: stream.first, oldest_at_ms, entries }
    }
}

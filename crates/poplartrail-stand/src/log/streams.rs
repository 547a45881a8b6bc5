//! Streams of records, kept in memory.

use std::{
    collections::HashMap,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use bytes::Bytes;
use poplartrail_wire::generated::{LogAppended, LogCursor, LogEntry, LogPage, LogPages};

/// Largest number of records that one page of a read holds.
const MAX_PAGE_RECORDS: usize = 1000;

/// Records of one stream that have not expired.
#[derive(Debug, Default)]
struct Stream {
    /// Offset of the oldest entry, which is the number of entries that have expired.
    first_offset: u64,
    entries: Vec<LogEntry>,
}

/// All streams of the log; each record expires after the retention.
#[derive(Debug)]
pub struct Streams {
    streams: HashMap<String, Stream>,
    retention: Duration,
}

/// Returns the time of the log, in milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Streams {
    /// Creates an empty set of streams that keeps each record for `retention`.
    pub fn new(retention: Duration) -> Self {
        Self { streams: HashMap::new(), retention }
    }

    /// Appends a record to the stream `name`, and returns its offset and time.
    pub fn append(&mut self, name: &str, body: Bytes) -> LogAppended {
        let stream = self.streams.entry(name.to_owned()).or_default();
        let offset = stream.first_offset + stream.entries.len() as u64;
        let at_ms = now_ms();
        stream.entries.push(LogEntry { offset, at_ms, body });
        LogAppended { offset, at_ms }
    }

    /// Reads one page from each cursor, starting at its offset.
    pub fn read(&mut self, cursors: &[LogCursor]) -> LogPages {
        self.expire();
        let pages = cursors.iter().map(|cursor| self.page(cursor)).collect();
        LogPages { now_ms: now_ms(), pages }
    }

    /// Removes every record that is older than the retention.
    pub fn expire(&mut self) {
        let min_at_ms = now_ms().saturating_sub(self.retention.as_millis() as u64);
        for stream in self.streams.values_mut() {
            let expired = stream.entries.partition_point(|entry| entry.at_ms < min_at_ms);
            stream.first_offset += expired as u64;
            stream.entries.drain(..expired);
        }
    }

    /// Returns how many records have been appended to the stream `name`, expired ones included.
    pub fn appended_count(&self, name: &str) -> u64 {
        self.streams.get(name).map_or(0, |stream| stream.first_offset + stream.entries.len() as u64)
    }

    fn page(&self, cursor: &LogCursor) -> LogPage {
        let empty = Stream::default();
        let stream = self.streams.get(&cursor.stream).unwrap_or(&empty);
        let skipped = cursor.from.saturating_sub(stream.first_offset) as usize;
        let entries = stream.entries.iter().skip(skipped).take(MAX_PAGE_RECORDS).cloned().collect();
        let oldest_at_ms = stream.entries.first().map_or_else(now_ms, |entry| entry.at_ms);
        LogPage {
            stream: cursor.stream.clone(),
            oldest: stream.first_offset,
            oldest_at_ms,
            entries,
        }
    }
}

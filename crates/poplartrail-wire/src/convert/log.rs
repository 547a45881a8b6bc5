//! The protocol of the platform log.

use poplartrail_core::{
    engine::{LogBatch, LogRecord, StreamId},
    names::ServiceName,
    time::WallTime,
};
use prost::Message;

use crate::{
    WireError,
    convert::{self, config::decode_config_record, member::decode_member_record},
    generated as wire,
};

/// Stream of the configuration.
const CONFIG_STREAM: &str = "config";
/// Prefix of the services' streams.
const MEMBERS_PREFIX: &str = "members.";

/// The name of a stream in the log.
pub fn stream_name(stream: &StreamId) -> String {
    match stream {
        StreamId::Config => CONFIG_STREAM.to_owned(),
        StreamId::Members(service) => format!("{MEMBERS_PREFIX}{service}"),
    }
}

/// Writes a read of several streams from their next offsets.
pub fn encode_read(cursors: &[(StreamId, u64)]) -> Vec<u8> {
    let cursors = cursors
        .iter()
        .map(|(stream, from)| wire::LogCursor { stream: stream_name(stream), from: *from });
    wire::LogRead { cursors: cursors.collect() }.encode_to_vec()
}

/// What a read returned, with the records that could not be understood counted.
#[derive(Debug, Clone)]
pub struct ReadReply {
    /// The log's own time.
    pub log_now: WallTime,
    /// The records.
    pub batches: Vec<LogBatch>,
    /// Records that were passed over because they could not be decoded.
    pub undecodable: usize,
}

/// Reads the answer to a read.
///
/// A record that cannot be decoded is passed over on every node alike and counted.
pub fn decode_read_reply(bytes: &[u8]) -> Result<ReadReply, WireError> {
    let message: wire::LogPages = convert::decode(bytes)?;
    let mut undecodable = 0;
    let mut batches = Vec::with_capacity(message.pages.len());
    for page in message.pages {
        batches.push(batch_from(page, &mut undecodable)?);
    }
    Ok(ReadReply { log_now: WallTime::from_millis(message.now_ms), batches, undecodable })
}

fn batch_from(page: wire::LogPage, undecodable: &mut usize) -> Result<LogBatch, WireError> {
    if page.stream == CONFIG_STREAM {
        let records = records_from(page.entries, decode_config_record, undecodable);
        return Ok(LogBatch::Config { oldest: page.oldest, records });
    }
    let service =
        page.stream.strip_prefix(MEMBERS_PREFIX).ok_or(WireError::BadValue("stream name"))?;
    Ok(LogBatch::Members {
        service: ServiceName::new(service)?,
        oldest: (page.oldest, WallTime::from_millis(page.oldest_at_ms)),
        records: records_from(page.entries, decode_member_record, undecodable),
    })
}

fn records_from<T>(
    entries: Vec<wire::LogEntry>,
    decode: impl Fn(&[u8]) -> Result<T, WireError>,
    undecodable: &mut usize,
) -> Vec<LogRecord<T>> {
    let mut records = Vec::with_capacity(entries.len());
    for entry in entries {
        match decode(&entry.body) {
            Ok(body) => records.push(LogRecord {
                offset: entry.offset,
                at: WallTime::from_millis(entry.at_ms),
                body,
            }),
            Err(_) => *undecodable += 1,
        }
    }
    records
}

//! Requests to the platform log and their replies.

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

/// Name of the configuration stream.
const CONFIG_STREAM: &str = "config";
/// Prefix of the names of member streams; the name of the service follows.
const MEMBERS_PREFIX: &str = "members.";

/// Returns the name of a stream in the platform log.
pub fn stream_name(stream: &StreamId) -> String {
    match stream {
        StreamId::Config => CONFIG_STREAM.to_owned(),
        StreamId::Members(service) => format!("{MEMBERS_PREFIX}{service}"),
    }
}

/// Encodes a request to read several streams, each from the given offset.
pub fn encode_read(cursors: &[(StreamId, u64)]) -> Vec<u8> {
    let cursors = cursors
        .iter()
        .map(|(stream, from)| wire::LogCursor { stream: stream_name(stream), from: *from });
    wire::LogRead { cursors: cursors.collect() }.encode_to_vec()
}

/// Decoded reply to a read.
#[derive(Debug, Clone)]
pub struct ReadReply {
    /// Time at which the log replied, by its own clock.
    pub log_now: WallTime,
    /// Records of the requested streams.
    pub batches: Vec<LogBatch>,
    /// Number of records that were skipped because they could not be decoded.
    pub undecodable: usize,
}

/// Decodes the reply to a read.
///
/// A record that cannot be decoded is skipped and counted. Every node skips the same records.
pub fn decode_read_reply(bytes: &[u8]) -> Result<ReadReply, WireError> {
    let message: wire::LogPages = convert::decode_message(bytes)?;
    let mut undecodable = 0;
    let mut batches = Vec::with_capacity(message.pages.len());
    for page in message.pages {
        batches.push(batch_from_wire(page, &mut undecodable)?);
    }
    Ok(ReadReply { log_now: WallTime::from_millis(message.now_ms), batches, undecodable })
}

fn batch_from_wire(page: wire::LogPage, undecodable: &mut usize) -> Result<LogBatch, WireError> {
    if page.stream == CONFIG_STREAM {
        let records = decode_records(page.entries, decode_config_record, undecodable);
        return Ok(LogBatch::Config { oldest: page.oldest, records });
    }
    let service =
        page.stream.strip_prefix(MEMBERS_PREFIX).ok_or(WireError::InvalidValue("stream name"))?;
    Ok(LogBatch::Members {
        service: ServiceName::new(service)?,
        oldest: (page.oldest, WallTime::from_millis(page.oldest_at_ms)),
        records: decode_records(page.entries, decode_member_record, undecodable),
    })
}

fn decode_records<T>(
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

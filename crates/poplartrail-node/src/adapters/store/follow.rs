//! Reader of one topic of the store.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use http::StatusCode;
use metrics::counter;
use poplartrail_core::{
    engine::Input,
    member::{MemberRecord, read_pause},
    names::VmName,
};
use poplartrail_platform::store::{
    CONFIG_KEY, KeyedRecord, MEMBERS_TOPIC, OPERATOR_TOPIC, decode_records, read_call,
};
use poplartrail_store::{StoreClient, StoreError};
use poplartrail_wire::member::decode_member_record;
use tokio::time::sleep;

use crate::{
    adapters::store::backoff::Backoff,
    ports::{DecideMessage, RingSender},
};

/// Time for which the store holds a long poll while there are no new records. It need not be short
/// to detect a dead connection, because keepalive probes do so sooner; its length only saves calls.
const LONG_POLL_WAIT: Duration = Duration::from_secs(20);
/// Time limit for a response, in addition to [`LONG_POLL_WAIT`] for a long poll.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest delay after a failure, before jitter. A change has to take effect within
/// two seconds after the store has recovered.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1000));

/// A topic that the node reads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    /// Configuration of the site, which the operators write.
    Operator,
    /// Member records, which the nodes announce.
    Members,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Topic::Operator => OPERATOR_TOPIC,
            Topic::Members => MEMBERS_TOPIC,
        }
    }
}

/// Reads a topic until the process exits and passes its records to the decide thread.
pub(crate) async fn follow(topic: Topic, store: SocketAddr, decide: RingSender<DecideMessage>) {
    let mut reader = TopicReader {
        topic,
        client: StoreClient::new(store),
        decide,
        next_offset: None,
        members: HashSet::new(),
        backoff: Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1),
    };
    loop {
        match reader.read_batch().await {
            Ok(has_records) => {
                reader.record_success();
                if has_records {
                    sleep(reader.pause()).await;
                }
            }
            Err(err) => reader.back_off(&err).await,
        }
    }
}

struct TopicReader {
    topic: Topic,
    client: StoreClient,
    decide: RingSender<DecideMessage>,
    /// Offset of the next record. `None` until the newest record of each key has been read.
    next_offset: Option<u64>,
    /// VMs whose records have been read.
    members: HashSet<VmName>,
    backoff: Backoff,
}

impl TopicReader {
    /// Returns the delay before the next read, during which further records accumulate.
    fn pause(&self) -> Duration {
        match self.topic {
            Topic::Operator => Duration::ZERO,
            Topic::Members => read_pause(self.members.len()),
        }
    }

    /// Reads the next records and forwards them. Returns whether there were any.
    async fn read_batch(&mut self) -> Result<bool, StoreError> {
        match self.next_offset {
            None => self.read_newest().await,
            Some(offset) => self.read_from(offset).await,
        }
    }

    async fn read_newest(&mut self) -> Result<bool, StoreError> {
        let newest = self.client.newest_records(self.topic.name(), RESPONSE_TIMEOUT).await?;
        self.next_offset = Some(newest.next_offset);
        let has_records = !newest.records.is_empty();
        self.forward(newest.records).await;
        Ok(has_records)
    }

    async fn read_from(&mut self, offset: u64) -> Result<bool, StoreError> {
        let call = read_call(self.topic.name(), offset, LONG_POLL_WAIT);
        let body = match self.client.call(&call, LONG_POLL_WAIT + RESPONSE_TIMEOUT).await {
            Err(StoreError::Refused(StatusCode::GONE)) => {
                spdlog::info!(
                    "the store has dropped records of {}: reading the newest of each key",
                    self.topic.name()
                );
                self.next_offset = None;
                return Ok(false);
            }
            result => result?,
        };
        let page = decode_records(offset, body)?;
        self.next_offset = Some(page.next_offset);
        let has_records = !page.records.is_empty();
        self.forward(page.records).await;
        Ok(has_records)
    }

    async fn forward(&mut self, records: Vec<KeyedRecord>) {
        let input = match self.topic {
            Topic::Operator => {
                // Only the newest configuration counts. The node decodes it as the site's document.
                let config = records.into_iter().rev().find(|record| record.key == CONFIG_KEY);
                config.map(|record| Input::SiteDocument(record.value))
            }
            Topic::Members => {
                let members: Vec<_> = records.iter().filter_map(decode_member).collect();
                self.members.extend(members.iter().map(|record| record.member.vm.clone()));
                Some(Input::PeerMembers(members))
            }
        };
        if let Some(input) = input {
            self.decide.send(DecideMessage::Input(input)).await;
        }
    }

    fn record_success(&mut self) {
        let failures = self.backoff.failures();
        if failures > 0 {
            spdlog::info!("{} can be read again after {failures} failures", self.topic.name());
        }
        self.backoff.record_success();
    }

    /// Logs `err` unless the previous attempt failed too, and waits before the next one.
    async fn back_off(&mut self, err: &StoreError) {
        counter!("poplartrail_store_read_failures_total", "topic" => self.topic.name())
            .increment(1);
        if self.backoff.failures() == 0 {
            spdlog::warn!("{} cannot be read: {err}", self.topic.name());
        }
        sleep(self.backoff.record_failure()).await;
    }
}

/// Decodes a member record. Returns `None` if it is malformed or names another VM than its key, for
/// instance because something other than a node has written it.
fn decode_member(record: &KeyedRecord) -> Option<MemberRecord> {
    match decode_member_record(&record.value) {
        Ok(member) if record.key == member.member.vm.as_str() => Some(member),
        Ok(member) => {
            let (vm, key) = (&member.member.vm, String::from_utf8_lossy(&record.key));
            spdlog::warn!("a member record names {vm} and is ignored: its key is {key:?}");
            None
        }
        Err(err) => {
            spdlog::warn!("a member record cannot be read: {err}");
            None
        }
    }
}

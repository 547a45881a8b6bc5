//! Reader of one topic of the store.

use std::{collections::HashSet, net::SocketAddr, time::Duration};

use http::StatusCode;
use metrics::counter;
use poplartrail_core::{
    engine::Input,
    member::{MemberRecord, poll_wait, read_pause},
    names::VmName,
};
use poplartrail_platform::store::{
    CONFIG_KEY, KeyedRecord, MEMBERS_TOPIC, OPERATOR_TOPIC, decode_records, read_call,
};
use poplartrail_store::{StoreClient, StoreError};
use poplartrail_wire::member::decode_member_record;
use tokio::time::sleep;

use crate::{
    adapters::store::{backoff::Backoff, store_health::StoreHealth},
    ports::{DecideMessage, RingSender},
};

/// Mean time between two long polls of the configuration by all nodes together. The first one that
/// ends after a lost response brings the fleet up to date.
const CONFIG_POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Mean time between two long polls of the members by all nodes together. A node that is not up to
/// date still has its calls rerouted by the nodes that it calls.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for a page of the newest records.
const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit for the response to a read, in addition to the time for which the store holds it. A
/// slow store takes a third of it.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
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

    fn poll_interval(self) -> Duration {
        match self {
            Topic::Operator => CONFIG_POLL_INTERVAL,
            Topic::Members => MEMBERS_POLL_INTERVAL,
        }
    }
}

/// Reads a topic until the process exits and passes its records to the decide thread.
pub(crate) async fn follow(
    topic: Topic,
    store: SocketAddr,
    health: StoreHealth,
    decide: RingSender<DecideMessage>,
) {
    let mut reader = TopicReader {
        topic,
        client: StoreClient::new(store),
        decide,
        next_offset: None,
        is_restored: false,
        era: None,
        is_suspect: false,
        health,
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
    /// Whether the newest records are read again, because the store may have lost some.
    is_restored: bool,
    /// Era of the store as of the last response; `None` if none has stated it.
    era: Option<u64>,
    /// Whether the store has left a call unanswered since the last response. The next read is then
    /// not held by the store, so that it shows soon whether the store responds.
    is_suspect: bool,
    health: StoreHealth,
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

    /// Records the era that the last response states, and returns whether it is a new one: the
    /// store has come back from a copy, and offsets of before mean nothing any more.
    fn enters_new_era(&mut self) -> bool {
        let from = std::mem::replace(&mut self.era, self.client.era());
        let (Some(from), Some(to)) = (from, self.era) else { return false };
        if from == to {
            return false;
        }
        // The long poll of another client may not show it for half a minute.
        self.health.record_disruption();
        let topic = self.topic.name();
        counter!("poplartrail_store_restores_total", "topic" => topic).increment(1);
        spdlog::warn!(
            "the store has come back from a copy (era {from} -> {to}): reading the newest of each key of {topic}",
            kv: { event = "store-restored", from, to }
        );
        true
    }

    /// Reads the next records and forwards them. Returns whether there were any.
    async fn read_batch(&mut self) -> Result<bool, StoreError> {
        match self.next_offset {
            None => self.read_newest().await,
            Some(offset) => self.read_from(offset).await,
        }
    }

    /// Lets the next read return the newest record of each key.
    fn restart_from_newest(&mut self) {
        self.next_offset = None;
        self.is_restored = true;
    }

    async fn read_newest(&mut self) -> Result<bool, StoreError> {
        let newest = self.client.newest_records(self.topic.name(), PAGE_TIMEOUT).await;
        self.is_restored |= self.enters_new_era();
        let newest = newest?;
        self.next_offset = Some(newest.next_offset);
        self.is_suspect = false;
        let has_records = !newest.records.is_empty();
        self.forward(newest.records).await;
        Ok(has_records)
    }

    async fn read_from(&mut self, offset: u64) -> Result<bool, StoreError> {
        let wait = match self.is_suspect {
            true => Duration::ZERO,
            false => poll_wait(self.health.nodes(), self.topic.poll_interval(), rand::random()),
        };
        let call = read_call(self.topic.name(), offset, wait);
        let result = tokio::select! {
            result = self.client.call(&call, wait + READ_TIMEOUT) => result,
            // The store may have lost the response to this call too. Dropping the call closes its
            // connection.
            () = self.health.await_disruption(), if !self.is_suspect => {
                self.is_suspect = true;
                return Ok(false);
            }
        };
        if self.enters_new_era() {
            self.restart_from_newest();
            return Ok(false);
        }
        let body = match result {
            Err(StoreError::Refused(StatusCode::GONE)) => {
                spdlog::info!(
                    "the store has dropped records of {}: reading the newest of each key",
                    self.topic.name()
                );
                self.restart_from_newest();
                return Ok(false);
            }
            result => result?,
        };
        self.is_suspect = false;
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
                self.health.set_nodes(self.members.len());
                match std::mem::take(&mut self.is_restored) {
                    true => Some(Input::RestoredMembers(members)),
                    false => Some(Input::StoredMembers(members)),
                }
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
        if matches!(err, StoreError::Unanswered(_)) {
            self.is_suspect = true;
            self.health.record_disruption();
        }
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

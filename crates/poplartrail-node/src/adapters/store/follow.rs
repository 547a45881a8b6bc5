//! Following one topic of the store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use poplartrail_core::engine::Input;
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

/// Time for which the store holds a read back while there is nothing new. Probes of the connection
/// notice its silence sooner, so a longer wait only saves calls.
const READ_WAIT: Duration = Duration::from_secs(20);
/// Time beyond that within which the answer must arrive.
const ANSWER_TIME: Duration = Duration::from_secs(2);
/// Least and greatest pause after a failure. A change is to be in force within two seconds of the
/// store's return.
const PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(1000));

/// A topic that the node follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Topic {
    /// What the operators write.
    Operator,
    /// What the nodes announce.
    Members,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Topic::Operator => OPERATOR_TOPIC,
            Topic::Members => MEMBERS_TOPIC,
        }
    }

    /// Pause before the next read, in which further records gather; each announcement wakes every
    /// node, so the reads of a restart of many must not grow with their square.
    fn batch_pause(self) -> Duration {
        match self {
            Topic::Operator => Duration::ZERO,
            Topic::Members => Duration::from_millis(150),
        }
    }
}

/// Reads a topic for the life of the process and hands its records to the decide thread.
pub(crate) async fn follow(topic: Topic, store: SocketAddr, decide: RingSender<DecideMessage>) {
    let mut follower = Follower {
        topic,
        client: StoreClient::new(store),
        decide,
        next: None,
        backoff: Backoff::new(PAUSES.0, PAUSES.1),
    };
    loop {
        match follower.step().await {
            Ok(has_records) => {
                follower.note_success();
                if has_records {
                    sleep(topic.batch_pause()).await;
                }
            }
            Err(err) => follower.note_failure(&err).await,
        }
    }
}

struct Follower {
    topic: Topic,
    client: StoreClient,
    decide: RingSender<DecideMessage>,
    /// Offset of the next record, once the newest of each key have been read.
    next: Option<u64>,
    backoff: Backoff,
}

impl Follower {
    async fn step(&mut self) -> Result<bool, StoreError> {
        match self.next {
            None => self.read_newest().await,
            Some(from) => self.read_on(from).await,
        }
    }

    async fn read_newest(&mut self) -> Result<bool, StoreError> {
        let newest = self.client.newest_records(self.topic.name(), ANSWER_TIME).await?;
        self.next = Some(newest.next_offset);
        let has_records = !newest.records.is_empty();
        self.hand_over(newest.records).await;
        Ok(has_records)
    }

    async fn read_on(&mut self, from: u64) -> Result<bool, StoreError> {
        let call = read_call(self.topic.name(), from, READ_WAIT);
        let body = match self.client.call(&call, READ_WAIT + ANSWER_TIME).await {
            Err(StoreError::Refused(StatusCode::GONE)) => {
                spdlog::info!("records of {} are gone, its newest are read", self.topic.name());
                self.next = None;
                return Ok(false);
            }
            result => result?,
        };
        let page = decode_records(from, body)?;
        self.next = Some(page.next_offset);
        let has_records = !page.records.is_empty();
        self.hand_over(page.records).await;
        Ok(has_records)
    }

    async fn hand_over(&self, records: Vec<KeyedRecord>) {
        let input = match self.topic {
            Topic::Operator => {
                let config = records.into_iter().rev().find(|record| record.key == CONFIG_KEY);
                config.map(|record| Input::SiteDocument(record.value))
            }
            Topic::Members => Some(Input::PeerMembers(
                records.into_iter().filter_map(|record| member(&record.value)).collect(),
            )),
        };
        if let Some(input) = input {
            self.decide.send(DecideMessage::Input(input)).await;
        }
    }

    fn note_success(&mut self) {
        let failures = self.backoff.failures();
        if failures > 0 {
            spdlog::info!("{} is read again after {failures} failures", self.topic.name());
        }
        self.backoff.reset();
    }

    async fn note_failure(&mut self, err: &StoreError) {
        if self.backoff.failures() == 0 {
            spdlog::warn!("{} cannot be read: {err}", self.topic.name());
        }
        sleep(self.backoff.next()).await;
    }
}

/// A member as its node announced it; `None` if another writer left the record.
fn member(value: &Bytes) -> Option<poplartrail_core::member::MemberRecord> {
    match decode_member_record(value) {
        Ok(record) => Some(record),
        Err(err) => {
            spdlog::warn!("a member's record cannot be read: {err}");
            None
        }
    }
}

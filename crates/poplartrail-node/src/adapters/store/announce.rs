//! Announcement of this node in the store's topic of members.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::StatusCode;
use poplartrail_core::{engine::Input, member::MemberRecord};
use poplartrail_platform::store::{KeyedRecord, MEMBERS_TOPIC, append_call};
use poplartrail_store::{StoreClient, StoreError};
use poplartrail_wire::member::encode_member_record;
use tokio::{sync::watch, time::sleep};

use crate::{
    adapters::store::{backoff::Backoff, store_health::StoreHealth},
    ports::{Clock, DecideMessage, RingSender},
};

/// Time limit for a response of the store, which takes milliseconds in normal operation.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Shortest and longest delay after a failure, before jitter.
const BACKOFF_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(1500));
/// Increment of the epoch after the store has refused it as out of date, in milliseconds. It
/// exceeds any correction of the clock.
const EPOCH_STEP_MS: u64 = 10_000;

/// Appends the latest member record of this node, with retries until the store has accepted it. A
/// record that is replaced in the meantime is skipped.
pub(crate) async fn announce<C: Clock>(
    store: SocketAddr,
    mut latest: watch::Receiver<Option<MemberRecord>>,
    clock: C,
    mut health: StoreHealth,
    decide: RingSender<DecideMessage>,
) {
    let mut client = StoreClient::new(store);
    let mut epoch = 0;
    while latest.changed().await.is_ok() {
        let mut backoff = Backoff::new(BACKOFF_RANGE.0, BACKOFF_RANGE.1);
        loop {
            let Some(record) = latest.borrow_and_update().clone() else { break };
            // A higher epoch makes the store refuse earlier appends that are still in flight.
            epoch = (epoch + 1).max(clock.wall().as_millis());
            match append_record(&mut client, &record, epoch).await {
                Ok(_) => {
                    let input = Input::MemberStored(Box::new(record));
                    decide.send(DecideMessage::Input(input)).await;
                    break;
                }
                Err(StoreError::Refused(StatusCode::CONFLICT)) => epoch += EPOCH_STEP_MS,
                Err(err) => {
                    if matches!(err, StoreError::Unanswered(_)) {
                        health.record_disruption();
                    }
                    spdlog::warn!("cannot announce this node in the store: {err}");
                    sleep(backoff.record_failure()).await;
                }
            }
        }
    }
}

async fn append_record(
    client: &mut StoreClient,
    record: &MemberRecord,
    epoch: u64,
) -> Result<Bytes, StoreError> {
    let vm = record.member.vm.as_str();
    let keyed = KeyedRecord {
        key: Bytes::copy_from_slice(vm.as_bytes()),
        value: Bytes::from(encode_member_record(record)),
    };
    client.call(&append_call(MEMBERS_TOPIC, &keyed, vm, epoch), RESPONSE_TIMEOUT).await
}

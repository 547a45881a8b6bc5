//! Main loop of the platform thread.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use metrics::{counter, gauge};
use poplartrail_core::{
    config::ConfigRecord,
    engine::{Input, LogBatch, StreamId},
    names::ServiceName,
};
use poplartrail_http::{LogClient, LogError};
use poplartrail_wire::{config::encode_config_record, member::encode_member_record};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use tokio::time::{Instant, sleep_until};

use crate::{
    adapters::block_on,
    ports::{DecideMessage, PlatformMessage, RingReceiver, RingSender},
};

/// Base of the exponential backoff, as a multiple of the mean interval between two reads.
const BACKOFF_BASE: f64 = 1.0;
/// Upper limit of the backoff, as a multiple of the mean interval between two reads.
const BACKOFF_MAX: f64 = 4.0;

/// Parameters of the platform thread.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address of the platform log.
    pub addr: SocketAddr,
    /// Mean interval between two reads.
    pub poll_interval: Duration,
    /// Time limit for a response of the log.
    pub timeout: Duration,
    /// Service of this node. Its stream of members is read, and appended to.
    pub service: ServiceName,
}

/// Reads the platform log and appends to it until `inbox` is closed.
pub fn run(
    options: PlatformOptions,
    inbox: &RingReceiver<PlatformMessage>,
    decide: &RingSender<DecideMessage>,
) {
    block_on(async move {
        let client = match LogClient::new(options.addr, options.timeout) {
            Ok(client) => client,
            Err(err) => return spdlog::critical!("cannot create the platform log client: {err}"),
        };
        let mut cursors = BTreeMap::new();
        cursors.insert(StreamId::Config, 0);
        cursors.insert(StreamId::Members(options.service.clone()), 0);
        let reader = LogReader {
            client,
            options,
            decide: decide.clone(),
            cursors,
            failures: 0,
            rng: SmallRng::from_os_rng(),
        };
        reader.run(inbox).await;
    });
}

struct LogReader {
    client: LogClient,
    options: PlatformOptions,
    decide: RingSender<DecideMessage>,
    cursors: BTreeMap<StreamId, u64>,
    failures: u32,
    rng: SmallRng,
}

impl LogReader {
    async fn run(mut self, inbox: &RingReceiver<PlatformMessage>) {
        let mut next_read = Instant::now();
        loop {
            tokio::select! {
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    if self.handle_message(message).await {
                        next_read = Instant::now();
                    }
                }
                () = sleep_until(next_read) => {
                    let has_new_records = self.read().await;
                    next_read = if has_new_records { Instant::now() } else { self.next_read_time() };
                }
            }
        }
    }

    /// Handles a message. Returns whether the log should be read immediately.
    async fn handle_message(&mut self, message: PlatformMessage) -> bool {
        let local_stream = StreamId::Members(self.options.service.clone());
        let (stream, body) = match message {
            PlatformMessage::AppendMember(record) => (local_stream, encode_member_record(&record)),
            PlatformMessage::AppendSnapshot(snapshot) => {
                (StreamId::Config, encode_config_record(&ConfigRecord::Snapshot(snapshot)))
            }
            PlatformMessage::Subscribe(services) => {
                for service in services {
                    self.cursors.entry(StreamId::Members(service)).or_insert(0);
                }
                return true;
            }
        };
        // An append without a response may have taken effect. It is not retried, because its
        // content is appended again in due course.
        match self.client.append(&stream, body).await {
            Ok(_) => true,
            Err(err) => {
                self.record_failure("append", &err);
                false
            }
        }
    }

    /// Reads each stream once. Returns whether there were new records.
    async fn read(&mut self) -> bool {
        let cursors: Vec<(StreamId, u64)> =
            self.cursors.iter().map(|(stream, next)| (stream.clone(), *next)).collect();
        let pages = match self.client.read(&cursors).await {
            Ok(pages) => pages,
            Err(err) => {
                self.record_failure("read", &err);
                return false;
            }
        };
        self.failures = 0;
        gauge!("poplartrail_log_reachable").set(1.0);
        counter!("poplartrail_log_undecodable_total").increment(pages.undecodable as u64);
        let mut has_new_records = false;
        for batch in pages.batches {
            has_new_records |= self.advance_cursor(&batch);
            let input = Input::Log { batch, log_now: pages.log_now };
            if !self.decide.send(DecideMessage::Input(input)).await {
                return false;
            }
        }
        has_new_records
    }

    /// Moves the cursor of a batch's stream past its last record. Returns whether there was a new
    /// one.
    fn advance_cursor(&mut self, batch: &LogBatch) -> bool {
        let (stream, oldest, last) = match batch {
            LogBatch::Config { oldest, records } => {
                (StreamId::Config, *oldest, records.last().map(|r| r.offset))
            }
            LogBatch::Members { service, oldest, records } => {
                let stream = StreamId::Members(service.clone());
                (stream, oldest.0, records.last().map(|r| r.offset))
            }
        };
        let next = self.cursors.entry(stream).or_insert(0);
        let before = *next;
        *next = (*next).max(oldest).max(last.map_or(0, |last| last + 1));
        last.is_some() && *next > before
    }

    fn next_read_time(&mut self) -> Instant {
        let factor = match self.failures {
            0 => 1.0,
            failures => (BACKOFF_BASE * f64::from(1 << failures.min(4))).min(BACKOFF_MAX),
        };
        Instant::now()
            + self.options.poll_interval.mul_f64(factor * self.rng.random_range(0.5..1.5))
    }

    fn record_failure(&mut self, request: &'static str, err: &LogError) {
        self.failures = self.failures.saturating_add(1);
        counter!("poplartrail_log_failures_total", "request" => request).increment(1);
        gauge!("poplartrail_log_reachable").set(0.0);
        if self.failures == 1 {
            spdlog::warn!("platform log: {request} failed: {err}");
        }
    }
}

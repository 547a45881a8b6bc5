//! The loop of the platform thread.

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

/// Shortest pause after a failure, as a part of the mean time between two reads.
const BACKOFF_START: f64 = 1.0;
/// Longest pause after failures, as a multiple of the mean time between two reads.
const BACKOFF_MAX: f64 = 4.0;

/// Parameters of the platform thread.
#[derive(Debug, Clone)]
pub struct PlatformOptions {
    /// Address of the log.
    pub addr: SocketAddr,
    /// Mean time between two reads.
    pub poll_interval: Duration,
    /// Time after which a request counts as unanswered.
    pub timeout: Duration,
    /// Service of the node.
    pub service: ServiceName,
}

/// Reads the log and appends to it until the ring is closed.
pub fn run(
    options: PlatformOptions,
    inbox: &RingReceiver<PlatformMessage>,
    decide: &RingSender<DecideMessage>,
) {
    block_on(async move {
        let client = match LogClient::new(options.addr, options.timeout) {
            Ok(client) => client,
            Err(err) => return spdlog::critical!("no client for the platform log: {err}"),
        };
        let mut cursors = BTreeMap::new();
        cursors.insert(StreamId::Config, 0);
        cursors.insert(StreamId::Members(options.service.clone()), 0);
        let reader = Reader {
            client,
            options,
            decide: decide.clone(),
            cursors,
            failures: 0,
            random: SmallRng::from_os_rng(),
        };
        reader.run(inbox).await;
    });
}

struct Reader {
    client: LogClient,
    options: PlatformOptions,
    decide: RingSender<DecideMessage>,
    cursors: BTreeMap<StreamId, u64>,
    failures: u32,
    random: SmallRng,
}

impl Reader {
    async fn run(mut self, inbox: &RingReceiver<PlatformMessage>) {
        let mut next_read = Instant::now();
        loop {
            tokio::select! {
                message = inbox.recv() => {
                    let Some(message) = message else { return };
                    if self.take(message).await {
                        next_read = Instant::now();
                    }
                }
                () = sleep_until(next_read) => {
                    let is_more = self.read().await;
                    next_read = if is_more { Instant::now() } else { self.next_read() };
                }
            }
        }
    }

    /// Carries a message out, and tells whether the log should be read at once.
    async fn take(&mut self, message: PlatformMessage) -> bool {
        let own = StreamId::Members(self.options.service.clone());
        let (stream, body) = match message {
            PlatformMessage::AppendMember(record) => (own, encode_member_record(&record)),
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
        // An append whose answer was lost is not repeated: what it says is said again in time.
        match self.client.append(&stream, body).await {
            Ok(_) => true,
            Err(err) => {
                self.note_failure("append", &err);
                false
            }
        }
    }

    /// Reads all streams once, and tells whether there was anything new.
    async fn read(&mut self) -> bool {
        let cursors: Vec<(StreamId, u64)> =
            self.cursors.iter().map(|(stream, next)| (stream.clone(), *next)).collect();
        let pages = match self.client.read(&cursors).await {
            Ok(pages) => pages,
            Err(err) => {
                self.note_failure("read", &err);
                return false;
            }
        };
        self.failures = 0;
        gauge!("poplartrail_log_reachable").set(1.0);
        counter!("poplartrail_log_undecodable_total").increment(pages.undecodable as u64);
        let mut is_more = false;
        for batch in pages.batches {
            is_more |= self.advance(&batch);
            let input = Input::Log { batch, log_now: pages.log_now };
            if !self.decide.send(DecideMessage::Input(input)).await {
                return false;
            }
        }
        is_more
    }

    /// Moves the cursor of a batch's stream behind its last record.
    fn advance(&mut self, batch: &LogBatch) -> bool {
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

    fn next_read(&mut self) -> Instant {
        let factor = match self.failures {
            0 => 1.0,
            failures => (BACKOFF_START * f64::from(1 << failures.min(4))).min(BACKOFF_MAX),
        };
        Instant::now()
            + self.options.poll_interval.mul_f64(factor * self.random.random_range(0.5..1.5))
    }

    fn note_failure(&mut self, what: &'static str, err: &LogError) {
        self.failures = self.failures.saturating_add(1);
        counter!("poplartrail_log_failures_total", "request" => what).increment(1);
        gauge!("poplartrail_log_reachable").set(0.0);
        if self.failures == 1 {
            spdlog::warn!("platform log: {what} failed: {err}");
        }
    }
}

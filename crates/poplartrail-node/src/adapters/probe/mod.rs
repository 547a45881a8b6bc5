//! The probe thread: polls the load endpoint of the upstream.

use std::{net::SocketAddr, time::Duration};

use poplartrail_core::engine::Input;
use poplartrail_http::{HttpClient, build_client, get};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::{
    adapters::block_on,
    ports::{DecideMessage, RingSender},
};

/// Size limit of an answer of the load endpoint.
const MAX_ANSWER_BYTES: usize = 64 << 10;
/// Number of consecutive failed reads after which a successful one counts as a restart of the
/// upstream.
const RESTART_FAILURES: u32 = 2;

/// Parameters of the probe thread.
#[derive(Debug, Clone)]
pub struct ProbeOptions {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Path of the load endpoint, which answers with a JSON object that states `slots`.
    pub path: String,
    /// Interval between two reads, and time limit for each.
    pub poll_interval: Duration,
}

/// Polls the load endpoint until the `decide` ring is closed.
pub fn run(options: ProbeOptions, decide: &RingSender<DecideMessage>) {
    block_on(async move {
        let client = match build_client(1) {
            Ok(client) => client,
            Err(err) => return spdlog::critical!("cannot create the load probe client: {err}"),
        };
        let mut failures = 0;
        loop {
            let slots =
                timeout(options.poll_interval, read(&client, &options)).await.ok().flatten();
            let is_ring_open = match slots {
                Some(slots) => {
                    let has_restarted = failures >= RESTART_FAILURES;
                    failures = 0;
                    report_slots(decide, slots, has_restarted).await
                }
                None => {
                    failures += 1;
                    true
                }
            };
            if !is_ring_open {
                return;
            }
            sleep(options.poll_interval).await;
        }
    });
}

async fn report_slots(decide: &RingSender<DecideMessage>, slots: u32, has_restarted: bool) -> bool {
    if has_restarted {
        decide.send(DecideMessage::Input(Input::UpstreamRestarted)).await;
    }
    decide.send(DecideMessage::Input(Input::UpstreamSlots { slots })).await
}

async fn read(client: &HttpClient, options: &ProbeOptions) -> Option<u32> {
    let body = get(client, options.addr, &options.path, MAX_ANSWER_BYTES).await?;
    let value: Value = serde_json::from_slice(&body).ok()?;
    value.get("slots")?.as_u64().and_then(|slots| u32::try_from(slots).ok())
}

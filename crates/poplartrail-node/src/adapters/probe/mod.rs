//! The probe duty: what the upstream says of its own load.

use std::{net::SocketAddr, time::Duration};

use poplartrail_core::engine::Input;
use poplartrail_http::{HttpClient, build_client, get};
use serde_json::Value;
use tokio::time::{sleep, timeout};

use crate::{
    adapters::block_on,
    ports::{DecideMessage, RingSender},
};

/// Largest answer of the load endpoint.
const MAX_ANSWER: usize = 64 << 10;
/// Consecutive failures after which a return counts as a restart of the upstream.
const RESTART_FAILURES: u32 = 2;

/// Parameters of the probe thread.
#[derive(Debug, Clone)]
pub struct ProbeOptions {
    /// Address of the upstream.
    pub addr: SocketAddr,
    /// Path of its load endpoint, which answers with JSON that states `slots`.
    pub path: String,
    /// Time between two reads.
    pub poll_interval: Duration,
}

/// Reads the load endpoint until the decide thread has ended.
pub fn run(options: ProbeOptions, decide: &RingSender<DecideMessage>) {
    block_on(async move {
        let client = match build_client(1) {
            Ok(client) => client,
            Err(err) => return spdlog::critical!("no client for the load endpoint: {err}"),
        };
        let mut failures = 0;
        loop {
            let slots =
                timeout(options.poll_interval, read(&client, &options)).await.ok().flatten();
            let is_open = match slots {
                Some(slots) => {
                    let was_gone = failures >= RESTART_FAILURES;
                    failures = 0;
                    tell(decide, slots, was_gone).await
                }
                None => {
                    failures += 1;
                    true
                }
            };
            if !is_open {
                return;
            }
            sleep(options.poll_interval).await;
        }
    });
}

async fn tell(decide: &RingSender<DecideMessage>, slots: u32, was_gone: bool) -> bool {
    if was_gone {
        decide.send(DecideMessage::Input(Input::UpstreamRestarted)).await;
    }
    decide.send(DecideMessage::Input(Input::UpstreamSlots { slots })).await
}

async fn read(client: &HttpClient, options: &ProbeOptions) -> Option<u32> {
    let body = get(client, options.addr, &options.path, MAX_ANSWER).await?;
    let value: Value = serde_json::from_slice(&body).ok()?;
    value.get("slots")?.as_u64().and_then(|slots| u32::try_from(slots).ok())
}

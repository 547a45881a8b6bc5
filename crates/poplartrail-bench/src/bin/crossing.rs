//! Measures the round trip of a message between two threads that are joined by rings.

use std::{
    thread,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use hdrhistogram::Histogram;
use poplartrail_node::ports::{RingReceiver, RingSender, ring};

/// Longest time that the receiving thread parks; equal to that of the decide thread without a
/// timer.
const MAX_PARK: Duration = Duration::from_secs(5);
/// Round trips before the measured ones.
const WARM_UP_TURNS: usize = 1_000;

/// Measures the round trip of a message from an adapter's thread to the decide thread
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of round trips to measure, 20000 by default
    #[bpaf(fallback(20_000))]
    turns: usize,
    /// Microseconds of rest before each round trip, in which both threads park, 200 by default
    #[bpaf(fallback(200))]
    rest_us: u64,
}

fn main() {
    let options = options().run();
    let (to_decide, decide_inbox) = ring(64);
    let (to_adapter, adapter_inbox) = ring(64);
    let decide = thread::spawn(move || echo(&decide_inbox, &to_adapter));
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("the runtime can be built");
    let latencies = runtime.block_on(measure(&options, &to_decide, &adapter_inbox));
    drop(to_decide);
    decide.join().expect("the thread ends when its ring is closed");
    println!(
        "two crossings, rest {} us: p50 {:.1} us, p99 {:.1} us of {}",
        options.rest_us,
        latencies.value_at_quantile(0.5) as f64 / 1e3,
        latencies.value_at_quantile(0.99) as f64 / 1e3,
        latencies.len(),
    );
}

/// Sends each message back until the ring is closed or no message arrives within [`MAX_PARK`].
fn echo(inbox: &RingReceiver<usize>, to_adapter: &RingSender<usize>) {
    while let Ok(turn) = inbox.recv_timeout(MAX_PARK) {
        assert!(to_adapter.try_send(turn).is_ok(), "the ring to the adapter is full or closed");
    }
}

/// Returns the round-trip latencies in nanoseconds.
async fn measure(
    options: &Options,
    to_decide: &RingSender<usize>,
    inbox: &RingReceiver<usize>,
) -> Histogram<u64> {
    let mut latencies = Histogram::new(3).expect("three significant digits are supported");
    for turn in 0..options.turns + WARM_UP_TURNS {
        tokio::time::sleep(Duration::from_micros(options.rest_us)).await;
        let start = Instant::now();
        to_decide.send(turn).await;
        inbox.recv().await;
        if turn >= WARM_UP_TURNS {
            latencies
                .record(start.elapsed().as_nanos() as u64)
                .expect("the latency is in the range of the histogram");
        }
    }
    latencies
}

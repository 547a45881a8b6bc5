//! Processor time and wake-ups of hosted nodes, at rest and under calls.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use poplartrail_stand::hosted::{HostedCaller, HostedNode, StandInstance, StandStore};

use crate::{print_threads, total};

/// Configuration of the fleet: half of the nodes serve `routes`, the others `swaps`.
const SITE: &str = include_str!("../../../../poplartrail-node/tests/sites/small.json");
/// Time between the first heartbeats of two instances. They register one after the other, as on a
/// platform that starts hundreds of machines.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(30);
/// Virtual host of the routes.
const HOST: &str = "routes.example";
/// Time for the nodes to learn of each other, and for the callers to reach their rate.
const WARM_UP: Duration = Duration::from_secs(3);
/// Pause before each measurement, so that the replies and the log of the last one have been
/// written.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Load of a measurement.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    /// Requests per second that the caller of each node sends.
    pub(crate) rate: u32,
    /// Time that an instance takes for a request, in milliseconds.
    pub(crate) work_ms: u64,
    /// Length of each of the two measurements.
    pub(crate) duration: Duration,
}

/// Nodes of one fleet with their instances, and the store that they share.
struct HostedFleet {
    store: StandStore,
    nodes: Vec<(HostedNode, StandInstance)>,
}

/// Processor time by thread and wake-ups of all nodes since their start.
struct Usage {
    threads: BTreeMap<String, f64>,
    wakeups: u64,
}

/// Measures a fleet of `nodes` nodes, first under `load`, then at rest with all connections between
/// the nodes still open.
pub(crate) fn measure(nodes: usize, load: Load) {
    let Load { rate, work_ms, duration } = load;
    let mut fleet = HostedFleet::start(nodes);
    fleet.send_heartbeats();
    let served = Arc::new(AtomicU64::new(0));
    let is_stopping = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (fleet.nodes.iter().enumerate())
        .map(|(index, (node, _))| {
            let (caller, served, is_stopping) =
                (node.caller(), served.clone(), is_stopping.clone());
            thread::spawn(move || send_requests(caller, index, load, &served, &is_stopping))
        })
        .collect();
    thread::sleep(WARM_UP);
    println!(
        "{nodes} hosted nodes have started: {:.1} reads of members and configuration a node",
        f64::from(fleet.store.total_reads()) / nodes as f64,
    );
    let (before, served_before) = (fleet.usage(), served.load(Ordering::Relaxed));
    thread::sleep(duration);
    let (after, served_after) = (fleet.usage(), served.load(Ordering::Relaxed));
    let requests = (served_after - served_before) as f64;
    println!(
        "{nodes} hosted nodes, {rate} requests/s a node of {work_ms} ms: {requests} served, {:.0} us and {:.1} \
         wake-ups a request, {:.2}% of a core a node, {} KiB at most",
        1e6 * (total(&after.threads) - total(&before.threads)) / requests,
        (after.wakeups - before.wakeups) as f64 / requests,
        100.0 * (total(&after.threads) - total(&before.threads))
            / (nodes as f64 * duration.as_secs_f64()),
        fleet.resident_kib(),
    );
    print_threads(&before.threads, &after.threads, |seconds| {
        format!("{:.1} us a request", seconds * 1e6 / requests)
    });

    is_stopping.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("the caller should not panic");
    }
    thread::sleep(SETTLE_TIME);
    let before = fleet.usage();
    thread::sleep(duration);
    let after = fleet.usage();
    let per_node_second = |total: f64| total / (nodes as f64 * duration.as_secs_f64());
    println!(
        "{nodes} hosted nodes at rest: {:.3}% of a core and {:.0} wake-ups/s a node",
        100.0 * per_node_second(total(&after.threads) - total(&before.threads)),
        per_node_second((after.wakeups - before.wakeups) as f64),
    );
    print_threads(&before.threads, &after.threads, |seconds| {
        format!("{:.4}% of a core", 100.0 * per_node_second(seconds))
    });
}

impl HostedFleet {
    /// Starts the nodes and waits until they are ready.
    fn start(nodes: usize) -> Self {
        let store = StandStore::start();
        store.publish(SITE);
        let nodes: Vec<_> = (0..nodes)
            .map(|index| {
                let instance = StandInstance::start(&format!("i-{index}"));
                let service = if index % 2 == 0 { "routes" } else { "swaps" };
                let vm = format!("vm-{index}");
                (HostedNode::start(&vm, service, &store, &instance), instance)
            })
            .collect();
        for (node, _) in &nodes {
            node.await_ready();
        }
        Self { store, nodes }
    }

    /// Registers each instance at its node. One heartbeat is enough for the time of a measurement.
    fn send_heartbeats(&mut self) {
        for (node, instance) in &mut self.nodes {
            let status = node.send_heartbeat(instance, "ready");
            assert_eq!(status, 200, "the node should accept the heartbeat");
            thread::sleep(HEARTBEAT_INTERVAL);
        }
    }

    fn usage(&self) -> Usage {
        let mut usage = Usage { threads: BTreeMap::new(), wakeups: 0 };
        for (node, _) in &self.nodes {
            for (name, time) in node.process().thread_cpu_times() {
                *usage.threads.entry(name).or_default() += time.as_secs_f64();
            }
            usage.wakeups += node.process().wakeups();
        }
        usage
    }

    fn resident_kib(&self) -> u64 {
        let resident = self.nodes.iter().filter_map(|(node, _)| node.process().resident_kib());
        resident.max().unwrap_or(0)
    }
}

/// Sends requests, alternately to the two services, until told to stop.
fn send_requests(
    mut caller: HostedCaller,
    index: usize,
    load: Load,
    served: &AtomicU64,
    is_stopping: &AtomicBool,
) {
    let interval = Duration::from_secs(1) / load.rate;
    let mut next = Instant::now() + interval.mul_f64(index as f64 / 64.0);
    let mut number = 0_u64;
    while !is_stopping.load(Ordering::Relaxed) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += interval;
        number += 1;
        let prefix = if number.is_multiple_of(2) { "/read" } else { "/read/swaps" };
        let path = format!("{prefix}/slow-{}", load.work_ms);
        let id = format!("{:x}", (index as u64) << 32 | number);
        let reply = caller.call("GET", HOST, &path, &id);
        if reply.is_some_and(|reply| reply.status == 200) {
            served.fetch_add(1, Ordering::Relaxed);
        }
    }
}

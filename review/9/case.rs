//! An instance leaves while the store is down, and the node that acknowledged it is killed before the
//! store is back.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::{
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use stand::{
    client::Client,
    has_trouble,
    instance::Instance,
    node::{Node, Settings, send_control},
    record::Record,
    store::Store,
};

/// Bounds of the site.
const DRAIN: Duration = Duration::from_millis(2_000);
const STABLE: Duration = Duration::from_millis(3_000);
const GRACE_S: u32 = 6;
/// Length of the store's outage.
const OUTAGE: Duration = Duration::from_millis(4_500);
/// Time for which the instance serves on after the acknowledgement.
const STAY: Duration = Duration::from_secs(12);
/// Pause between two requests of the client.
const PAUSE: Duration = Duration::from_millis(50);

const SITE: &str = r#"{"version":"00000001","services":[{"name":"front","health-path":"/health","max-connections":772,"protocol":"h1","tls":false},{"name":"swaps","health-path":"/health","max-connections":772,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"virtual-hosts":[{"host":"h.example","paths":[{"name":"r-book","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":1200,"target-latency-ms":3000,"priority":2,"service":"swaps","attempts":2}]}]}"#;

struct Machine {
    instance: Instance,
    node: Node,
}

fn start_machine(n: usize, service: &str, store: &Store, record: &Record) -> Machine {
    let zone = format!("zone-{n}");
    let instance = Instance::start(&format!("i-{n}"), service, &zone, record);
    let node = Node::start(&Settings {
        vm: format!("vm-{n}"),
        service: service.to_owned(),
        zone,
        app: instance.addr,
        store: store.addr,
        grace_s: GRACE_S,
    });
    Machine { instance, node }
}

/// Sends a check-in every 1.5 s until `has_left` is set.
fn check_in(machine: &Machine, has_left: Arc<AtomicBool>) {
    let (instance, control) = (machine.instance.clone(), machine.node.control);
    thread::spawn(move || {
        for seq in 1.. {
            if has_left.load(Ordering::SeqCst) {
                return;
            }
            send_control(control, "PUT", &instance.id, &instance.check_in("ready", seq));
            sleep(Duration::from_millis(1500));
        }
    });
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.publish(SITE);
    let mut leaving = start_machine(1, "swaps", &store, &record);
    let others =
        [start_machine(2, "swaps", &store, &record), start_machine(3, "front", &store, &record)];
    let nodes = [&leaving.node, &others[0].node, &others[1].node];
    if !nodes.iter().all(|node| node.await_ready(Duration::from_secs(20))) {
        record.line("a node did not become ready: the case could not run");
        exit_with(2, leaving, others);
    }
    let has_left = Arc::new(AtomicBool::new(false));
    check_in(&leaving, has_left.clone());
    for machine in &others {
        check_in(machine, Arc::default());
    }
    sleep(Duration::from_secs(4));

    let is_over = Arc::new(AtomicBool::new(false));
    let client = send_bookings(others[1].node.requests, is_over.clone(), &record);
    sleep(Duration::from_secs(2));
    let served_before = leaving.instance.runs().len();
    record.line(&format!("i-1 has run {served_before} requests"));

    if has_trouble() {
        record.line("the store is down: it answers 503 to every call");
        store.set_down(true);
    }
    let outage_end = Instant::now() + OUTAGE;
    // This check-in was sent before the instance left, and will arrive late.
    let late_check_in = leaving.instance.check_in("ready", 1_000);
    record.line("i-1 sends a check-in that is held up on its way");
    has_left.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(500));
    let body = format!("{{\"born\":{}}}", leaving.instance.born_ms);
    let mut status = 0;
    for _ in 0..3 {
        status = leaving.node.control_call("DELETE", "i-1", &body);
        if status == 200 {
            break;
        }
    }
    let acked_at = Instant::now();
    record.line(&format!("i-1 says that it leaves (DELETE): {status}"));
    if status != 200 {
        // Without an acknowledgement nothing is promised.
        record.line("no acknowledgement: DRAIN is not concerned");
        is_over.store(true, Ordering::SeqCst);
        drop(client.join());
        exit_with(0, leaving, others);
    }
    sleep(Duration::from_millis(300));
    if has_trouble() {
        leaving.node.kill();
        record.line("the node of vm-1 is killed");
        sleep(Duration::from_millis(700));
        leaving.node.start_again();
        record.line("the node of vm-1 is started again");
    }
    sleep(Duration::from_millis(1500));
    let late = late_check_in.clone();
    let control = leaving.node.control;
    let late_record = record.clone();
    thread::spawn(move || {
        let status = send_control(control, "PUT", "i-1", &late);
        late_record.line(&format!("the late check-in of i-1 arrives: {status}"));
    });
    sleep(outage_end.saturating_duration_since(Instant::now()));
    store.set_down(false);
    record.line("the store serves again");
    let stable_at = outage_end + STABLE;
    sleep((acked_at + STAY).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::SeqCst);
    let answered = client.join().unwrap_or(0);

    let judged_from = stable_at.max(acked_at + DRAIN);
    let late_runs: Vec<_> =
        leaving.instance.runs().into_iter().filter(|run| run.at > judged_from).collect();
    for run in &late_runs {
        record.line(&format!(
            "request {} reached i-1 {:.3} s after the acknowledgement, {:.3} s after the store \
             was back",
            run.id,
            run.at.duration_since(acked_at).as_secs_f64(),
            run.at.duration_since(outage_end).as_secs_f64()
        ));
    }
    record.line(&format!(
        "{answered} bookings answered with 200; {} reached i-1 later than {:.1} s after the \
         acknowledgement, with all machines and the store calm for {:.0} s",
        late_runs.len(),
        DRAIN.as_secs_f64(),
        STABLE.as_secs_f64()
    ));
    if served_before == 0 || answered == 0 {
        record.line("the case could not run");
        exit_with(2, leaving, others);
    }
    record.line(if late_runs.is_empty() { "DRAIN held" } else { "DRAIN is broken" });
    exit_with(i32::from(!late_runs.is_empty()), leaving, others);
}

/// Ends the nodes and the process.
fn exit_with(code: i32, leaving: Machine, others: [Machine; 2]) -> ! {
    drop(leaving);
    drop(others);
    exit(code)
}

/// Sends bookings from the machine of another service until `is_over`, each after the answer to the
/// one before it, and returns how many were answered with 200.
fn send_bookings(
    addr: std::net::SocketAddr,
    is_over: Arc<AtomicBool>,
    record: &Record,
) -> thread::JoinHandle<usize> {
    let record = record.clone();
    thread::spawn(move || {
        let mut answered = 0;
        let mut client: Option<Client> = None;
        for n in 0.. {
            if is_over.load(Ordering::SeqCst) {
                break;
            }
            sleep(PAUSE);
            let mut connection = match client.take().map_or_else(|| Client::connect(addr), Ok) {
                Ok(connection) => connection,
                Err(_) => continue,
            };
            let id = format!("b{n}");
            match connection.call("POST", "h.example", "/book/ms-20/", &id, 5_000) {
                Ok(answer) => {
                    if answer.status() == 200 {
                        answered += 1;
                    } else {
                        record.line(&format!("booking {id}: {}", answer.status()));
                    }
                    client = Some(connection);
                }
                Err(err) => record.line(&format!("booking {id}: {:?}", err.kind())),
            }
        }
        answered
    })
}

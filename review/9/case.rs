//! Many users at once: kept connections reach the bound of a node's front.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::{
    net::SocketAddr,
    process::exit,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
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

/// Kept connections in usual traffic, and the factor of the burst, the largest on the site.
const USUAL: usize = 780;
const BURST: f64 = 2.6;
/// Threads that open the kept connections.
const OPENERS: usize = 12;
/// New clients that try, and the time for which they do.
const NEW_CLIENTS: usize = 8;
const STABLE: Duration = Duration::from_millis(3_000);
/// Time limit of a new client's request.
const LIMIT: Duration = Duration::from_millis(5_000);

const SITE: &str = r#"{"version":"00000001","services":[{"name":"routes","health-path":"/health","max-connections":772,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"virtual-hosts":[{"host":"h.example","paths":[{"name":"r-lookup","path-prefix":"/lookup/","kind":"read_only","timeout-ms":5000,"target-latency-ms":1500,"priority":1,"service":"routes","attempts":2},{"name":"r-book","path-prefix":"/book/","kind":"non_idempotent","timeout-ms":5000,"target-latency-ms":3000,"priority":2,"service":"routes","attempts":2}]}]}"#;

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.publish(SITE);
    let instance = Instance::start("i-1", "routes", "zone-1", &record);
    let node = Node::start(&Settings {
        vm: "vm-1".to_owned(),
        service: "routes".to_owned(),
        zone: "zone-1".to_owned(),
        app: instance.addr,
        store: store.addr,
        grace_s: 6,
    });
    if !node.await_ready(Duration::from_secs(20)) {
        record.line("the node did not become ready: the case could not run");
        drop(node);
        exit(2);
    }
    let (checked_in, control) = (instance.clone(), node.control);
    thread::spawn(move || {
        for seq in 1.. {
            send_control(control, "PUT", "i-1", &checked_in.check_in("ready", seq));
            sleep(Duration::from_millis(1500));
        }
    });
    sleep(Duration::from_secs(3));

    let wanted = if has_trouble() { (USUAL as f64 * BURST) as usize } else { USUAL };
    let started = Instant::now();
    let kept = open_connections(node.requests, wanted);
    record.line(&format!(
        "{} of {wanted} clients have an answer and keep their connections, after {:.1} s",
        kept.len(),
        started.elapsed().as_secs_f64()
    ));

    // New clients try, again and again, until one is answered or the time is over.
    let has_answer = Arc::new(AtomicBool::new(false));
    let tries = Arc::new(AtomicUsize::new(0));
    let tried_from = Instant::now();
    let clients: Vec<_> = (0..NEW_CLIENTS)
        .map(|n| {
            let (has_answer, tries) = (has_answer.clone(), tries.clone());
            let (addr, record) = (node.requests, record.clone());
            thread::spawn(move || book(addr, n, &has_answer, &tries, &record))
        })
        .collect();
    let mut ready = 0;
    let mut asked = 0;
    let mut taken_after = None;
    while tried_from.elapsed() < LIMIT + Duration::from_secs(1) {
        asked += 1;
        ready += usize::from(node.readiness() == 200);
        if taken_after.is_none() && has_answer.load(Ordering::SeqCst) {
            taken_after = Some(tried_from.elapsed());
        }
        sleep(Duration::from_millis(250));
    }
    let answered = clients.into_iter().filter_map(|c| c.join().ok()).filter(|&ok| ok).count();
    let tries = tries.load(Ordering::SeqCst);
    let waited = taken_after.unwrap_or(tried_from.elapsed());
    let first = if taken_after.is_some() { "the first after" } else { "none within" };
    record.line(&format!(
        "{NEW_CLIENTS} new clients, {tries} connections tried, {answered} clients answered, \
         {first} {:.1} s; ready {ready} of {asked} times",
        waited.as_secs_f64()
    ));
    let kept_len = kept.len();
    drop(kept);
    drop(node);
    if kept_len == 0 || ready == 0 || tries < NEW_CLIENTS {
        record.line("the case could not run");
        exit(2);
    }
    let is_broken = ready == asked && waited >= STABLE;
    record.line(if is_broken { "RECOVER is broken" } else { "RECOVER held" });
    exit(i32::from(is_broken));
}

/// Opens up to `wanted` connections, each with one answered request, and returns those that have an
/// answer within a second.
fn open_connections(addr: SocketAddr, wanted: usize) -> Vec<Client> {
    let next = Arc::new(AtomicUsize::new(0));
    let openers: Vec<_> = (0..OPENERS)
        .map(|_| {
            let next = next.clone();
            thread::spawn(move || {
                let mut kept = Vec::new();
                loop {
                    let n = next.fetch_add(1, Ordering::SeqCst);
                    if n >= wanted {
                        return kept;
                    }
                    let Ok(mut client) = Client::connect(addr) else { continue };
                    let timeout = Some(Duration::from_secs(1));
                    let _is_unset = client.connection.stream.set_read_timeout(timeout).is_err();
                    let id = format!("k{n}");
                    let answer = client.call("GET", "h.example", "/lookup/ms-5/", &id, 1_000);
                    if answer.is_ok_and(|answer| answer.status() == 200) {
                        kept.push(client);
                    }
                }
            })
        })
        .collect();
    openers.into_iter().filter_map(|opener| opener.join().ok()).flatten().collect()
}

/// Tries to book, each time on a new connection that is given a second and a half, and returns
/// whether an answer came within the time limit.
fn book(
    addr: SocketAddr,
    n: usize,
    has_answer: &AtomicBool,
    tries: &AtomicUsize,
    record: &Record,
) -> bool {
    let end = Instant::now() + LIMIT;
    while Instant::now() < end {
        tries.fetch_add(1, Ordering::SeqCst);
        let Ok(mut client) = Client::connect(addr) else {
            sleep(Duration::from_millis(100));
            continue;
        };
        let timeout = Some(Duration::from_millis(1_500));
        let _is_unset = client.connection.stream.set_read_timeout(timeout).is_err();
        let id = format!("b{n}-{}", tries.load(Ordering::SeqCst));
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        match client.call("POST", "h.example", "/book/ms-5/", &id, left) {
            Ok(answer) => {
                has_answer.store(true, Ordering::SeqCst);
                record.line(&format!("booking {id} is answered {}", answer.status()));
                return true;
            }
            Err(err) => record.line(&format!("booking {id} has no answer: {:?}", err.kind())),
        }
    }
    false
}

//! Planned stop of a node while clients that send requests ahead still read earlier answers.

#[path = "../stand-2/mod.rs"]
mod stand;

use std::{
    io,
    process::exit,
    thread::{self, sleep},
    time::{Duration, Instant},
};

use stand::{
    client::Client,
    has_trouble,
    instance::{Instance, body_of},
    node::{Node, Settings},
    record::Record,
    store::Store,
};

const CLIENTS: usize = 8;
/// Length of an answer in bytes, the longest of the site's `route-lookup`.
const ANSWER_LEN: usize = 9_000;
/// Receive buffer of a client, in bytes.
const WINDOW: i32 = 4 << 10;
/// Bytes that a client reads at a time, and the pause after each read: 10 KB a second.
const READ_LEN: usize = 1 << 10;
const READ_PAUSE: Duration = Duration::from_millis(100);
/// Time limit of each request.
const LIMIT_MS: u64 = 5_000;
const GRACE_S: u32 = 6;

const SITE: &str = r#"{"version":"00000001","services":[{"name":"routes","health-path":"/health","max-connections":772,"protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},"virtual-hosts":[{"host":"h.example","paths":[{"name":"r-lookup","path-prefix":"/lookup/","kind":"read_only","timeout-ms":5000,"target-latency-ms":1500,"priority":1,"service":"routes","attempts":2}]}]}"#;

/// What one client saw.
struct Seen {
    /// Time at which the first two requests were sent.
    sent_at: Instant,
    /// Ids of the requests with a whole answer of status 200, in order.
    whole: Vec<String>,
    /// When and how the connection ended, if it did so within an answer.
    cut: Option<(Instant, String, usize)>,
    has_close_been_announced: bool,
}

fn main() {
    let record = Record::create();
    let store = Store::start();
    store.publish(SITE);
    let machines: Vec<(Instance, Node)> = (1..=2)
        .map(|n| {
            let zone = format!("zone-{n}");
            let instance = Instance::start(&format!("i-{n}"), "routes", &zone, &record);
            let node = Node::start(&Settings {
                vm: format!("vm-{n}"),
                service: "routes".to_owned(),
                zone,
                app: instance.addr,
                store: store.addr,
                grace_s: GRACE_S,
            });
            (instance, node)
        })
        .collect();
    for (instance, node) in &machines {
        if !node.await_ready(Duration::from_secs(20)) {
            record.line("a node did not become ready: the case could not run");
            drop(machines);
            exit(2);
        }
        let status = node.control_call("PUT", &instance.id, &instance.check_in("ready", 1));
        record.line(&format!("check-in of {}: {status}", instance.id));
    }
    // The check-ins go on until the case ends.
    for (instance, node) in &machines {
        let (instance, control) = (instance.clone(), node.control);
        thread::spawn(move || {
            for seq in 2.. {
                sleep(Duration::from_millis(1500));
                let body = instance.check_in("ready", seq);
                stand::node::send_control(control, "PUT", &instance.id, &body);
            }
        });
    }
    sleep(Duration::from_secs(4));

    let node = &machines[0].1;
    let requests = node.requests;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let record = record.clone();
            thread::spawn(move || read_ahead(requests, n, &record))
        })
        .collect();
    sleep(Duration::from_millis(100));
    let stopped_at = Instant::now();
    if has_trouble() {
        node.signal("-TERM");
        record.line("SIGTERM to the node of vm-1");
    }
    let seen: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let lost = count_lost(&seen, &machines, stopped_at, &record);
    let whole: usize = seen.iter().map(|seen| seen.whole.len()).sum();
    record.line(&format!(
        "{} clients, {whole} whole answers, {lost} requests read and run whose answer was cut",
        seen.len()
    ));
    let runs: usize = machines.iter().map(|(instance, _)| instance.runs().len()).sum();
    drop(machines);
    if seen.len() < CLIENTS || runs < 2 * CLIENTS {
        record.line("the case could not run");
        exit(2);
    }
    if lost > 0 {
        record.line("LOST is broken");
        exit(1);
    }
    record.line("LOST held");
}

/// Counts the requests that LOST covers: sent before the stop and run by an instance to the end,
/// whose connection ended without the whole answer before their time limit, no later than a second
/// after the grace time.
fn count_lost(
    seen: &[Seen],
    machines: &[(Instance, Node)],
    stopped_at: Instant,
    record: &Record,
) -> usize {
    let mut lost = 0;
    for (n, seen) in seen.iter().enumerate() {
        let Some((at, why, received)) = &seen.cut else { continue };
        let is_in_time = at.duration_since(seen.sent_at) < Duration::from_millis(LIMIT_MS)
            && at.duration_since(stopped_at) < Duration::from_secs(u64::from(GRACE_S) + 1);
        for id in [format!("c{n}-1"), format!("c{n}-2")] {
            let has_run = machines.iter().any(|(instance, _)| instance.has_finished(&id));
            if is_in_time && has_run && !seen.whole.contains(&id) {
                lost += 1;
                record.line(&format!(
                    "request {id} was run to its end; its connection ended {:.3} s after the \
                     sending ({why}; {received} bytes of an unfinished answer had been read; close \
                     announced before: {})",
                    at.duration_since(seen.sent_at).as_secs_f64(),
                    seen.has_close_been_announced,
                ));
            }
        }
    }
    lost
}

/// Sends two requests at once and a third while the first answer is still being read. Reads all
/// answers slowly.
fn read_ahead(addr: std::net::SocketAddr, n: usize, record: &Record) -> Seen {
    let mut client =
        Client::connect_with_buffer(addr, WINDOW).expect("the node should accept connections");
    let path = format!("/lookup/ms-300/len-{ANSWER_LEN}/");
    let sent_at = Instant::now();
    for k in 1..=2 {
        let id = format!("c{n}-{k}");
        client.send("GET", "h.example", &path, &id, LIMIT_MS).expect("the node should read");
    }
    record.line(&format!("client {n} sent c{n}-1 and c{n}-2"));
    let mut seen = Seen { sent_at, whole: Vec::new(), cut: None, has_close_been_announced: false };
    let mut has_sent_third = false;
    while seen.whole.len() < 3 && !seen.has_close_been_announced {
        let received = client.connection.buffered();
        match client.connection.fill(READ_LEN) {
            Ok(0) => {
                seen.cut = Some((Instant::now(), "end of the connection".to_owned(), received));
                break;
            }
            Ok(_) => {}
            Err(err) => {
                seen.cut = Some((Instant::now(), kind(&err), received));
                break;
            }
        }
        while let Some(answer) = client.connection.take_message() {
            let id = answer.field("x-request-id").unwrap_or_default().to_owned();
            record.line(&format!("client {n} has the answer {} to {id}", answer.status()));
            if answer.status() == 200 && answer.body == body_of(&id, ANSWER_LEN) {
                seen.whole.push(id);
            }
            seen.has_close_been_announced |= answer.field("connection") == Some("close");
        }
        // The first answer has no `Connection: close`, and the second is yet to come.
        if !has_sent_third && sent_at.elapsed() > Duration::from_millis(700) {
            has_sent_third = true;
            let id = format!("c{n}-3");
            let result = client.send("GET", "h.example", &path, &id, LIMIT_MS);
            record.line(&format!(
                "client {n} sent {id} ({}); it has read {} bytes of the answer before",
                if result.is_ok() { "ok" } else { "failed" },
                client.connection.buffered()
            ));
        }
        sleep(READ_PAUSE);
    }
    seen
}

fn kind(err: &io::Error) -> String {
    format!("{:?}", err.kind())
}

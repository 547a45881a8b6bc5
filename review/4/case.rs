//! A node is killed after it has acknowledged that its instance leaves; a check-in that the instance
//! sent before then arrives late.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    thread::{sleep, spawn},
    time::Duration,
};

use stand::{
    client::Client, has_trouble, instance::Instance, machine::Machine, record::Record, store::Store,
};

/// Bounds of the site, in milliseconds.
const DRAIN_MS: u64 = 2000;
const STABLE_MS: u64 = 3000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Time for which the instance serves on after its deregistration was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(12);
const LIMIT_MS: u64 = 5000;
const HOST: &str = "swap.example";

const CONFIG: &str = r#"{"version":"00000007",
"services":[{"name":"swaps","health-path":"/health","max-connections":772,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000},
"virtual-hosts":[{"host":"swap.example","paths":[{"name":"r-book","path-prefix":"/book/",
"kind":"non_idempotent","timeout-ms":1200,"target-latency-ms":3000,"priority":2,"service":"swaps","attempts":2}]}]}"#;

fn case() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    store.put_config(CONFIG);
    let mut machines = Vec::new();
    for (name, zone) in
        [("machine-a1", "zone-a"), ("machine-a2", "zone-a"), ("machine-b1", "zone-b")]
    {
        let instance = Instance::start(&format!("i-{name}"), "swaps", zone, &record);
        let machine = Machine::start(name, &instance, store.open(name).addr, &record);
        machine.await_ready();
        machines.push((machine, instance));
    }
    // The instance of the first machine leaves later, so its check-ins are sent below.
    for (machine, instance) in &machines[1..] {
        let beats = (instance.clone(), machine.control);
        spawn(move || {
            for seq in 1.. {
                beats.0.report(beats.1, "PUT", &beats.0.check_in("ready", seq));
                sleep(HEARTBEAT);
            }
        });
    }
    let book = |machine: &Machine, id: &str| {
        let Ok(mut client) = Client::connect(machine.outbound) else { return 0 };
        client.call("POST", HOST, "/book/ms-50", id, LIMIT_MS).map_or(0, |answer| answer.status())
    };
    let leaving = machines[0].1.clone();
    for seq in 1..=4 {
        leaving.report(machines[0].0.control, "PUT", &leaving.check_in("ready", seq));
        sleep(HEARTBEAT);
    }
    for n in 1..=20 {
        book(&machines[1].0, &format!("f{n}"));
    }
    if !leaving.runs().iter().any(|run| run.id.starts_with('f')) {
        record.line("the first instance got no request before it left");
        return stand::COULD_NOT_RUN;
    }

    // The network holds this check-in up; the instance goes on without waiting for it.
    let late_check_in = leaving.check_in("ready", 5);
    record.line("instance i-machine-a1 sends a check-in with seq 5, which is held up on its way");
    let body = format!("{{\"born\":{}}}", leaving.born);
    let status = leaving.report(machines[0].0.control, "DELETE", &body);
    if status != 200 {
        record.line("the deregistration was not acknowledged");
        return stand::COULD_NOT_RUN;
    }
    let acked_ms = record.now_ms();
    record.line("node of machine-a1 has acknowledged that the instance leaves");
    sleep(Duration::from_millis(300));
    if has_trouble() {
        machines[0].0.kill();
        sleep(Duration::from_millis(300));
        machines[0].0.start_node();
        machines[0].0.await_ready();
    }
    sleep(Duration::from_millis(1000));
    record.line("the check-in that was held up arrives");
    leaving.report(machines[0].0.control, "PUT", &late_check_in);

    // All machines are in touch again once `stable-ms` has passed since the kill.
    let bound_ms = record.now_ms().max(acked_ms + DRAIN_MS) + STABLE_MS;
    let (mut sent, mut broken) = (0, 0);
    while record.now_ms() < acked_ms + SERVES_ON.as_millis() as u64 {
        sent += 1;
        let (id, sent_ms) = (format!("b{sent}"), record.now_ms());
        let status = book(&machines[1].0, &id);
        record.line(format!("client on machine-a2 sends POST {id}: {status}"));
        if leaving.has_run(&id) && sent_ms > bound_ms {
            broken += 1;
            record.line(format!(
                "DRAIN: {id} was sent {} ms after the acknowledgement and has reached the instance",
                sent_ms - acked_ms
            ));
        }
        sleep(Duration::from_millis(40));
    }
    leaving.exit();
    record.line(format!(
        "{broken} of {sent} bookings reached the instance that had left, past the bound of {} ms",
        bound_ms - acked_ms
    ));
    if broken > 0 { stand::BROKEN } else { stand::HELD }
}

fn main() {
    stand::run(case);
}

//! The store gives one machine no response for some seconds, in which the operator moves a route.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    thread::{sleep, spawn},
    time::Duration,
};

use stand::{
    await_condition, client::Client, has_trouble, instance::Instance, machine::Machine,
    record::Record, store::Store,
};

/// Bounds of the site, in milliseconds.
const STABLE_MS: u64 = 3000;
const CONFIG_APPLY_MS: u64 = 2000;
const MAX_STRETCH_MS: u64 = 5000;
/// Time for which the store gives the machine no response; at most 9 s in the site file.
const OUTAGE: Duration = Duration::from_millis(4500);
const LIMIT_MS: u64 = 5000;
const HOST: &str = "swap.example";

/// Returns the desired state in which the service `service` runs the bookings.
fn config(version: &str, service: &str) -> String {
    let services = ["swaps", "billing"].map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"health-path\":\"/health\",\"max-connections\":772,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    format!(
        "{{\"version\":\"{version}\",\"services\":[{}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":67108864,\
         \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\
         \"virtual-hosts\":[{{\"host\":\"{HOST}\",\"paths\":[{{\"name\":\"r-book\",\
         \"path-prefix\":\"/book/\",\"kind\":\"non_idempotent\",\"timeout-ms\":1200,\
         \"target-latency-ms\":3000,\"priority\":2,\"service\":\"{service}\",\"attempts\":2}}]}}]}}",
        services.join(",")
    )
}

fn case() -> i32 {
    let record = Record::create();
    let store = Store::start(&record);
    store.put_config(&config("00000007", "swaps"));
    let places = [
        ("machine-a1", "zone-a", "swaps"),
        ("machine-b1", "zone-b", "billing"),
        ("machine-c1", "zone-c", "billing"),
    ];
    let mut machines = Vec::new();
    for (name, zone, service) in places {
        let access = store.open(name);
        let instance = Instance::start(&format!("i-{name}"), service, zone, &record);
        let machine = Machine::start(name, &instance, access.addr, &record);
        machine.await_ready();
        let beats = (instance.clone(), machine.control);
        spawn(move || {
            for seq in 1.. {
                beats.0.report(beats.1, "PUT", &beats.0.check_in("ready", seq));
                sleep(Duration::from_millis(1500));
            }
        });
        machines.push((machine, instance, access));
    }
    let book = |machine: &Machine, id: &str| {
        let Ok(mut client) = Client::connect(machine.outbound) else { return 0 };
        client.call("POST", HOST, "/book/x", id, LIMIT_MS).map_or(0, |answer| answer.status())
    };
    for (machine, ..) in &machines {
        let mut n = 0;
        await_condition("a booking is served", Duration::from_secs(10), || {
            n += 1;
            book(machine, &format!("f{n}-{}", machine.name)) == 200
        });
    }
    sleep(Duration::from_secs(2));

    let (first, swaps, access) = &machines[0];
    if has_trouble() {
        access.withhold(true);
        record.line("the store gives machine-a1 no response");
    }
    sleep(Duration::from_millis(500));
    store.put_config(&config("00000009", "billing"));
    let acked_ms = record.now_ms();
    record.line("the operator moves /book/ from swaps to billing; the store has acknowledged it");
    sleep(OUTAGE - Duration::from_millis(500));
    access.withhold(false);
    let over_ms = record.now_ms();
    record.line("the store responds to machine-a1 again");

    // A machine that was not in touch, or an unstable store, gets the longest time that any rule gives.
    let bound_ms = if has_trouble() { over_ms + STABLE_MS } else { acked_ms } + CONFIG_APPLY_MS;
    let bound_ms = bound_ms.max(acked_ms + CONFIG_APPLY_MS + MAX_STRETCH_MS);
    let (mut sent, mut stale, mut last_stale_ms) = (0, 0, 0);
    while record.now_ms() < bound_ms + 20_000 {
        sent += 1;
        let (id, sent_ms) = (format!("b{sent}"), record.now_ms());
        let status = book(first, &id);
        let by_swaps = swaps.has_run(&id);
        record.line(format!("client on machine-a1 sends POST /book/x {id}: {status}"));
        if by_swaps && sent_ms > bound_ms {
            stale += 1;
            last_stale_ms = sent_ms;
            record.line(format!(
                "CONFIG: {id} was sent {} ms after the acknowledgement and run by the old service",
                sent_ms - acked_ms
            ));
        }
        sleep(Duration::from_millis(200));
    }
    record.line(format!(
        "{stale} of {sent} bookings run by the old service after the bound of {} ms, the last {} ms \
         after the acknowledgement",
        bound_ms - acked_ms,
        last_stale_ms.saturating_sub(acked_ms)
    ));
    if stale > 0 { stand::BROKEN } else { stand::HELD }
}

fn main() {
    stand::run(case);
}

//! Stand-ins for the review cases: the platform's store, service instances, clients and the part of
//! the platform that starts and stops nodes. They use the standard library only.

#![allow(dead_code)]

pub mod client;
pub mod http;
pub mod instance;
pub mod machine;
pub mod record;
pub mod store;

use std::{net::TcpListener, panic, process::exit, time::Duration};

/// Exit code of a case in which the rule held.
pub const HELD: i32 = 0;
/// Exit code of a case in which the rule was broken.
pub const BROKEN: i32 = 1;
/// Exit code of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

/// Returns whether the case plays its disruption: always, unless `TROUBLE=0` is set.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Returns a free loopback port, for TCP and UDP.
pub fn free_port() -> u16 {
    for _ in 0..100 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("a bound address").port();
        if std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
    panic!("no port is free for both TCP and UDP");
}

/// Waits until `is_met` returns true. Panics after `limit`, so that the case counts as not run.
pub fn await_condition(what: &str, limit: Duration, mut is_met: impl FnMut() -> bool) {
    let start = std::time::Instant::now();
    while !is_met() {
        assert!(start.elapsed() < limit, "not met within {limit:?}: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Runs a case and exits with its code. All processes that it started end with it.
pub fn run(case: fn() -> i32) -> ! {
    let code = panic::catch_unwind(case).unwrap_or(COULD_NOT_RUN);
    exit(code)
}

//! Free ports for the processes of a test.

use std::{
    net::TcpStream,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use poplartrail_stand::fleet::{Process, free_addr};

/// Number of ports that are checked.
const PORT_COUNT: u32 = 1_000;
/// Number of threads that start processes during the check.
const STARTER_COUNT: usize = 4;

/// Guards against a port that looks free while a listener still accepts connections on it. A child
/// process holds copies of the sockets of its parent between fork and exec, so a listener that was
/// closed to check the port can live on there.
#[test]
fn free_port_has_no_listener() {
    let is_done = AtomicBool::new(false);
    let dir = std::env::temp_dir();
    let label = |number: usize| format!("free-ports-{}-{number}", std::process::id());
    let accepting = thread::scope(|scope| {
        for number in 0..STARTER_COUNT {
            let (dir, is_done) = (&dir, &is_done);
            scope.spawn(move || {
                while !is_done.load(Ordering::Relaxed) {
                    let args = ["--help".to_owned()];
                    drop(Process::start(dir, "stand-log", &label(number), &args));
                }
            });
        }
        let accepting = (0..PORT_COUNT).filter(|_| TcpStream::connect(free_addr()).is_ok()).count();
        is_done.store(true, Ordering::Relaxed);
        accepting
    });
    for number in 0..STARTER_COUNT {
        std::fs::remove_file(dir.join(label(number) + ".log"))
            .expect("each thread should have started a process");
    }
    assert_eq!(accepting, 0, "accepting ports of {PORT_COUNT}");
}

//! Ports that the processes of a test are given.

use std::{
    net::TcpStream,
    sync::atomic::{AtomicBool, Ordering},
    thread,
};

use poplartrail_stand::fleet::{Process, free_addr};

/// Ports that are looked at.
const LOOKS: u32 = 1_000;
/// Threads that start processes meanwhile.
const STARTERS: usize = 4;

/// A process that is being started holds the sockets of its parent until its program runs, so a
/// listener that was closed can go on taking connections.
#[test]
fn nothing_listens_there() {
    let is_over = AtomicBool::new(false);
    let dir = std::env::temp_dir();
    let label = |number: usize| format!("free-ports-{}-{number}", std::process::id());
    let taken = thread::scope(|scope| {
        for number in 0..STARTERS {
            let (dir, is_over) = (&dir, &is_over);
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let args = ["--help".to_owned()];
                    drop(Process::start(dir, "stand-log", &label(number), &args));
                }
            });
        }
        let taken = (0..LOOKS).filter(|_| TcpStream::connect(free_addr()).is_ok()).count();
        is_over.store(true, Ordering::Relaxed);
        taken
    });
    for number in 0..STARTERS {
        std::fs::remove_file(dir.join(label(number) + ".log")).expect("each wrote its output");
    }
    assert_eq!(taken, 0, "of {LOOKS} ports");
}

//! Child processes of a test.

use std::{
    collections::BTreeMap,
    fs::File,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// Interval at which [`Process::wait`] checks whether the process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest run of the command-line tool.
const TOOL_TIMEOUT: Duration = Duration::from_secs(30);

/// Held while a child process starts, and while a port is bound to check that it is free.
static STARTS: Mutex<()> = Mutex::new(());

/// Prevents child processes from starting until the guard is dropped.
///
/// Between fork and exec, a child process holds copies of the sockets of its parent. A listener
/// that the parent closes in that time keeps accepting connections.
pub(super) fn lock_process_starts() -> MutexGuard<'static, ()> {
    STARTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child process, killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts the workspace program `name` from the build folder of the running program.
    ///
    /// Standard output and standard error go to the file `label`.log in `dir`.
    pub fn start(dir: &Path, name: &str, label: &str, args: &[String]) -> Self {
        let program = program(name);
        let output = dir.join(format!("{label}.log"));
        let file = File::create(&output).expect("the test folder should be writable");
        let stderr = file.try_clone().expect("the file handle should be clonable");
        let mut command = Command::new(&program);
        command.args(args).stdin(Stdio::null()).stdout(file).stderr(stderr);
        let child = spawn(&mut command)
            .unwrap_or_else(|err| panic!("cannot start {}: {err}", program.display()));
        Self { child, output }
    }

    /// Runs the command-line tool and returns its exit code and output.
    ///
    /// The exit code is -1 if a signal ended the tool or it did not end within 30 seconds.
    pub fn run_tool(dir: &Path, args: &[String]) -> (i32, String) {
        static NEXT_RUN: AtomicU32 = AtomicU32::new(0);
        let label = format!("tool-{}", NEXT_RUN.fetch_add(1, Ordering::Relaxed));
        let mut tool = Self::start(dir, "poplartrail", &label, args);
        let code = tool.wait(TOOL_TIMEOUT).unwrap_or(-1);
        (code, tool.output())
    }

    /// Returns what the process has written to standard output and standard error so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Returns the resident memory of the process in KiB, or `None` once it has ended.
    pub fn resident_kib(&self) -> Option<u64> {
        self.memory_kib("VmRSS:")
    }

    /// Returns the largest resident memory of the process so far in KiB, or `None` once it has
    /// ended.
    pub fn peak_resident_kib(&self) -> Option<u64> {
        self.memory_kib("VmHWM:")
    }

    fn memory_kib(&self, field: &str) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with(field))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Returns the processor time of the running threads since their start, summed by thread name.
    pub fn thread_cpu_times(&self) -> BTreeMap<String, Duration> {
        let mut times = BTreeMap::new();
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        for task in tasks.into_iter().flatten().flatten() {
            let read = |name: &str| std::fs::read_to_string(task.path().join(name));
            let (Ok(name), Ok(stat)) = (read("comm"), read("schedstat")) else { continue };
            let nanos = stat.split_whitespace().next().and_then(|text| text.parse().ok());
            *times.entry(name.trim().to_owned()).or_default() +=
                Duration::from_nanos(nanos.unwrap_or(0));
        }
        times
    }

    /// Returns how often the running threads have given up the processor to wait, since their start.
    pub fn wakeups(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let statuses = tasks.into_iter().flatten().flatten();
        let counts = statuses.filter_map(|task| {
            let status = std::fs::read_to_string(task.path().join("status")).ok()?;
            let line = status.lines().find(|line| line.starts_with("voluntary_ctxt_switches:"))?;
            line.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        counts.sum()
    }

    /// Sends the signal `name`, such as `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let child = spawn(Command::new("kill").args([format!("-{name}"), pid]));
        let status = child.and_then(|mut child| child.wait());
        assert!(status.is_ok_and(|status| status.success()), "signal {name} should be sent");
    }

    /// Kills the process with `SIGKILL` and reaps it.
    pub fn kill(&mut self) {
        // Both calls fail harmlessly if the process has already ended.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for the process to end and returns its exit code, or -1 if a signal ended it.
    ///
    /// Returns `None` if it is still running after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a child process and returns once it executes its program.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = lock_process_starts();
    command.spawn()
}

/// Returns the path of a workspace program in the build folder of the running program.
fn program(name: &str) -> PathBuf {
    let current = std::env::current_exe().expect("the path of the running program should be known");
    let mut dir = current.parent().expect("the running program should be in a folder");
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir = dir.parent().expect("the build folder should have a parent");
    }
    dir.join(name)
}

//! One child process of a test.

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

/// Time between two looks at a process that is ending.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Time within which the command-line tool must end.
const TOOL_TIMEOUT: Duration = Duration::from_secs(30);

/// Held while a child process is started, and while a socket is open to see that its port is free.
static STARTS: Mutex<()> = Mutex::new(());

/// Keeps child processes from being started until the guard is dropped.
///
/// Between its start and the run of its program, a child process holds the sockets of its parent:
/// a listener closed meanwhile goes on taking connections.
pub(super) fn hold_starts() -> MutexGuard<'static, ()> {
    STARTS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    output: PathBuf,
}

impl Process {
    /// Starts the program `name` from the folder of the running program.
    ///
    /// Its output goes to a file in `dir` that is named after `label`.
    pub fn start(dir: &Path, name: &str, label: &str, args: &[String]) -> Self {
        let program = program(name);
        let output = dir.join(format!("{label}.log"));
        let file = File::create(&output).expect("the folder of the test can be written");
        let errors = file.try_clone().expect("a file handle can be copied");
        let mut command = Command::new(&program);
        command.args(args).stdin(Stdio::null()).stdout(file).stderr(errors);
        let child = spawn(&mut command)
            .unwrap_or_else(|err| panic!("{} does not start: {err}", program.display()));
        Self { child, output }
    }

    /// Runs the command-line tool to its end and returns its exit code and output.
    pub fn run_tool(dir: &Path, args: &[String]) -> (i32, String) {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let label = format!("tool-{}", RUNS.fetch_add(1, Ordering::Relaxed));
        let mut tool = Self::start(dir, "poplartrail", &label, args);
        let code = tool.wait(TOOL_TIMEOUT).unwrap_or(-1);
        (code, tool.output())
    }

    /// What the process has written.
    pub fn output(&self) -> String {
        std::fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Resident memory of the process, in KiB.
    pub fn resident_kib(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Processor time of each thread since its start, by name.
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

    /// Sends the signal `name`, for instance `TERM`, to the process.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let child = spawn(Command::new("kill").args([format!("-{name}"), pid]));
        let status = child.and_then(|mut child| child.wait());
        assert!(status.is_ok_and(|status| status.success()), "signal {name} can be sent");
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        // It may have ended by itself.
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for the end of the process; `None` if it runs on after `timeout`.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(LOOK_PAUSE);
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a child process, and returns when its program runs.
fn spawn(command: &mut Command) -> std::io::Result<Child> {
    let _guard = hold_starts();
    command.spawn()
}

/// The path of a program of this workspace, next to the running test or program.
fn program(name: &str) -> PathBuf {
    let here = std::env::current_exe().expect("the path of this program is known");
    let mut dir = here.parent().expect("a program lies in a folder");
    if dir.ends_with("deps") || dir.ends_with("examples") {
        dir = dir.parent().expect("the build folder has a parent");
    }
    dir.join(name)
}

//! A machine of the platform: one node process, which the platform starts, checks and stops.

use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpStream},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::Duration,
};

use super::{await_condition, free_port, http::Connection, instance::Instance, record::Record};

/// Longest wait for a node to become ready after its start.
const START_LIMIT: Duration = Duration::from_secs(20);

unsafe extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Has the kernel end the calling process when the thread that started it ends, so that no node
/// outlives a case that is killed. Nodes are started by the main thread.
fn end_with_parent() -> std::io::Result<()> {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes a signal number.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(std::io::Error::last_os_error()),
    }
}

/// One machine, whose node process ends with it.
pub struct Machine {
    pub name: String,
    pub outbound: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    settings: PathBuf,
    dir: PathBuf,
    node: Option<Child>,
    record: Record,
}

impl Machine {
    /// Starts a machine beside `instance`, with the settings that the project's template gives.
    pub fn start(name: &str, instance: &Instance, store: SocketAddr, record: &Record) -> Self {
        let dir = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let addr = || SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (outbound, ready, control) = (addr(), addr(), addr());
        let template = fs::read_to_string("deploy/node.toml.in").expect("the settings template");
        let fields = [
            ("node", name.to_owned()),
            ("service", instance.service.clone()),
            ("zone", instance.zone.clone()),
            ("region", "vn-south".to_owned()),
            ("listen.outbound", outbound.to_string()),
            ("listen.ready", ready.to_string()),
            ("listen.control", control.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("internal-ports.0", free_port().to_string()),
            ("internal-ports.1", free_port().to_string()),
            ("app-addr", instance.addr.to_string()),
            ("platform.address", store.to_string()),
            ("bounds.budget-slack", "47".to_owned()),
            ("bounds.grace-s", "6".to_owned()),
        ];
        let text = fields.iter().fold(template, |text, (field, value)| {
            text.replace(&format!("{{{{{field}}}}}"), value)
        });
        assert!(!text.contains("{{"), "the template has an unknown field:\n{text}");
        let settings = dir.join("local.json");
        fs::write(&settings, text).expect("the settings are writable");
        let record = record.clone();
        let mut machine = Self {
            name: name.to_owned(),
            outbound,
            ready,
            control,
            settings,
            dir,
            node: None,
            record,
        };
        machine.start_node();
        machine
    }

    /// Starts the node process, with the command of the deploy file.
    pub fn start_node(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(self.dir.join("node.log"));
        let log = log.expect("the log is writable");
        let mut command = Command::new("target/release/poplartraild");
        command
            .arg("--platform")
            .arg(&self.settings)
            .env("POPLARTRAIL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a second handle of the log"))
            .stderr(log);
        // SAFETY: the closure makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        let node = command.spawn().expect("the node starts");
        self.record.line(format!("platform starts the node of {}", self.name));
        self.node = Some(node);
    }

    /// Waits until the readiness check succeeds.
    pub fn await_ready(&self) {
        await_condition("the node is ready", START_LIMIT, || self.readiness() == 200);
        self.record.line(format!("node of {} is ready", self.name));
    }

    /// Returns the status of the readiness check, or 0 without a response.
    pub fn readiness(&self) -> u16 {
        let ask = || -> std::io::Result<u16> {
            let stream = TcpStream::connect(self.ready)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            let mut connection = Connection::new(stream);
            connection.stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: node\r\n\r\n")?;
            Ok(connection.read_message()?.status())
        };
        ask().unwrap_or(0)
    }

    /// Sends a signal such as `TERM` to the node process.
    pub fn signal(&self, name: &str) {
        let Some(node) = &self.node else { return };
        let command = format!("kill -{name} {}", node.id());
        let status = Command::new("sh").arg("-c").arg(command).status();
        assert!(status.is_ok_and(|status| status.success()), "the node takes signals");
        self.record.line(format!("platform sends SIG{name} to the node of {}", self.name));
    }

    /// Kills the node process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            let _ = node.wait();
            self.record.line(format!("platform kills the node of {}", self.name));
        }
    }

    /// Returns whether the node process has ended.
    pub fn has_ended(&mut self) -> bool {
        let Some(node) = &mut self.node else { return true };
        let has_ended = node.try_wait().is_ok_and(|status| status.is_some());
        if has_ended {
            self.record.line(format!("node of {} has ended", self.name));
            self.node = None;
        }
        has_ended
    }

    /// Returns the resident memory of the node process in MB, or 0 if it has ended.
    pub fn memory_mb(&self) -> f64 {
        let Some(node) = &self.node else { return 0.0 };
        let status = fs::read_to_string(format!("/proc/{}/status", node.id())).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<f64>().ok());
        kib.unwrap_or(0.0) * 1024.0 / 1e6
    }

    /// Returns what the node has written so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("node.log")).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        if let Some(mut node) = self.node.take() {
            let _ = node.kill();
            let _ = node.wait();
        }
        if std::env::var("KEEP_LOGS").is_ok() {
            println!("log of {}:\n{}", self.name, self.log());
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

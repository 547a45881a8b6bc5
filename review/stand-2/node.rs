//! A node process, started as the deploy file says.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

use super::{free_addr, http::Connection};

/// Settings of a node, as `deploy/node.toml.in` makes them for a deployment of a few machines.
pub struct Settings {
    pub vm: String,
    pub service: String,
    pub zone: String,
    pub app: SocketAddr,
    pub store: SocketAddr,
    pub grace_s: u32,
}

/// A node process. It is killed when dropped.
pub struct Node {
    child: Child,
    dir: PathBuf,
    pub requests: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
}

impl Node {
    pub fn start(settings: &Settings) -> Self {
        let dir =
            std::env::temp_dir().join(format!("review-2-{}-{}", std::process::id(), settings.vm));
        fs::create_dir_all(&dir).expect("the temporary folder should be writable");
        let [requests, ready, control, peers, report] = std::array::from_fn(|_| free_addr());
        let Settings { vm, service, zone, app, store, grace_s } = settings;
        let text = format!(
            "[node]\nvm = \"{vm}\"\nservice = \"{service}\"\nzone = \"{zone}\"\nregion = \"r\"\n\
             [listen]\nrequests = \"{requests}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             peers = \"{peers}\"\nreport = \"{report}\"\n[upstream]\naddr = \"{app}\"\n\
             [store]\naddr = \"{store}\"\n[retries]\nratio = 0.1\nburst = 47\n\
             [stop]\ngrace_s = {grace_s}\n[limits]\nmax_body_bytes = 67108864\n\
             max_connections = 2000\nring_len = 4096\n"
        );
        fs::write(dir.join("node.toml"), text).expect("the settings should be writable");
        let child = spawn(&dir);
        Self { child, dir, requests, ready, control }
    }

    /// Starts the process again with the same settings, after it has ended.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.dir);
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its number to this process alone.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &pid]).status();
        assert!(status.is_ok_and(|status| status.success()), "the node should still run");
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _is_gone = self.child.kill().is_err();
        let _is_lost = self.child.wait().is_err();
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Asks whether the node is ready; 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let Ok(stream) = TcpStream::connect(self.ready) else { return 0 };
        let _is_unset = stream.set_read_timeout(Some(Duration::from_secs(1))).is_err();
        let mut connection = Connection::new(stream);
        let request = b"GET /-/ready HTTP/1.1\r\nhost: n\r\nconnection: close\r\n\r\n";
        let answer = connection.write(request).and_then(|()| connection.read_message());
        answer.map_or(0, |answer| answer.status())
    }

    /// Waits until the node is ready; `false` after `limit`.
    pub fn await_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.readiness() == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a call of an instance to the control address and returns its status, 0 without one.
    pub fn control_call(&self, method: &str, id: &str, body: &str) -> u16 {
        send_control(self.control, method, id, body)
    }

    /// Log of all processes of this node so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap_or_default()
    }
}

/// Sends a call of an instance to `control` and returns its status, 0 without one in a second.
pub fn send_control(control: SocketAddr, method: &str, id: &str, body: &str) -> u16 {
    let Ok(stream) = TcpStream::connect(control) else { return 0 };
    let _is_unset = stream.set_read_timeout(Some(Duration::from_secs(1))).is_err();
    let mut connection = Connection::new(stream);
    let request = format!(
        "{method} /-/instances/{id} HTTP/1.1\r\nhost: n\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = connection.write(request.as_bytes()).and_then(|()| connection.read_message());
    answer.map_or(0, |answer| answer.status())
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
        let _is_kept = fs::remove_dir_all(&self.dir).is_err();
    }
}

/// Starts the program of the deploy file's role in the repository's root.
fn spawn(dir: &std::path::Path) -> Child {
    let log = File::options().create(true).append(true).open(dir.join("log"));
    let log = log.expect("the log should be writable");
    let copy = log.try_clone().expect("the log should be shareable");
    Command::new("target/release/poplartraild")
        .arg("--platform")
        .arg(dir.join("node.toml"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(copy)
        .spawn()
        .expect("target/release/poplartraild should have been built")
}

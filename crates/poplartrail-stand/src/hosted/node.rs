//! A node that the stand-in platform runs.

use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde_json::json;

use crate::{
    fleet::{Process, free_addr},
    hosted::{HostedCaller, StandInstance, StandStore},
};

/// Time within which a node must start to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(20);

/// A node as a process, with the addresses that the platform gave to it.
#[derive(Debug)]
pub struct HostedNode {
    process: Process,
    dir: PathBuf,
    vm: String,
    service: String,
    /// Address for callers.
    pub requests_addr: SocketAddr,
    /// Address for readiness checks.
    pub ready_addr: SocketAddr,
    /// Address for heartbeats.
    pub control_addr: SocketAddr,
    /// Address for operators.
    pub report_addr: SocketAddr,
    sequence: u64,
}

impl HostedNode {
    /// Starts a node of the service `routes` before an instance that has checked in, under the
    /// configuration `site`.
    pub fn start_single(site: &str) -> (StandStore, StandInstance, Self) {
        let store = StandStore::start();
        store.publish(site);
        let instance = StandInstance::start("i-1");
        let mut node = Self::start("vm-1", "routes", &store, &instance);
        node.await_ready();
        assert_eq!(node.send_heartbeat(&instance, "ready"), 200, "the heartbeat is taken");
        (store, instance, node)
    }

    /// Starts a node before `instance`.
    pub fn start(vm: &str, service: &str, store: &StandStore, instance: &StandInstance) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplartrail-hosted-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("a folder for the test can be made");
        let [requests_addr, ready_addr, control_addr, peers_addr, report_addr] =
            std::array::from_fn(|_| free_addr());
        let settings = format!(
            "[node]\nvm = \"{vm}\"\nservice = \"{service}\"\nzone = \"zone-a\"\nregion = \"r\"\n\
             [listen]\nrequests = \"{requests_addr}\"\nready = \"{ready_addr}\"\ncontrol = \"{control_addr}\"\n\
             peers = \"{peers_addr}\"\nreport = \"{report_addr}\"\n\
             [upstream]\naddr = \"{}\"\n[store]\naddr = \"{}\"\n\
             [retries]\nratio = 0.1\nburst = 20\n[stop]\ngrace_s = 6\n",
            instance.addr(),
            store.addr(),
        );
        std::fs::write(dir.join("node.toml"), settings).expect("the folder can be written");
        let process = start(&dir);
        let (vm, service) = (vm.to_owned(), service.to_owned());
        Self {
            process,
            dir,
            vm,
            service,
            requests_addr,
            ready_addr,
            control_addr,
            report_addr,
            sequence: 0,
        }
    }

    /// The process.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Name of its VM.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Runs the command-line tool and returns its exit code and output.
    pub fn run_tool(&self, args: &[&str]) -> (i32, String) {
        let args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
        Process::run_tool(&self.dir, &args)
    }

    /// Ends the process at once and starts it again.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start(&self.dir);
    }

    /// A caller on the node's VM.
    pub fn caller(&self) -> HostedCaller {
        HostedCaller::connect(self.requests_addr)
    }

    /// Sends a heartbeat of `instance` and returns the status of the answer.
    pub fn send_heartbeat(&mut self, instance: &StandInstance, state: &str) -> u16 {
        self.sequence += 1;
        let body = json!({
            "service": self.service,
            "address": instance.addr().to_string(),
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "seq": self.sequence,
            "born": 1_000,
        });
        self.send_raw_heartbeat(instance.id(), &body.to_string())
    }

    /// Sends a heartbeat with any body and returns the status of the answer.
    pub fn send_raw_heartbeat(&self, id: &str, body: &str) -> u16 {
        let mut caller = HostedCaller::connect(self.control_addr);
        let head = format!(
            "PUT /-/instances/{id} HTTP/1.1\r\nhost: n\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        caller.write(head.as_bytes());
        caller.write(body.as_bytes());
        caller.read().map_or(0, |reply| reply.status)
    }

    /// Sends the news that `instance` exits, and returns the status of the answer.
    pub fn send_deregistration(&self, instance: &StandInstance) -> u16 {
        let mut caller = HostedCaller::connect(self.control_addr);
        let head = format!("DELETE /-/instances/{} HTTP/1.1\r\nhost: n\r\n\r\n", instance.id());
        caller.write(head.as_bytes());
        caller.read().map_or(0, |reply| reply.status)
    }

    /// Calls that its gate has in the instance, as its status page tells.
    pub fn in_flight(&self) -> Option<u64> {
        let mut caller = HostedCaller::try_connect(self.report_addr)?;
        caller.write(b"GET /status HTTP/1.1\r\nhost: n\r\n\r\n");
        let status: serde_json::Value = serde_json::from_str(&caller.read()?.body).ok()?;
        status["in_flight"].as_u64()
    }

    /// Status of the readiness check; 0 without an answer.
    pub fn readiness(&self) -> u16 {
        let Some(mut caller) = HostedCaller::try_connect(self.ready_addr) else { return 0 };
        caller.write(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
        caller.read().map_or(0, |reply| reply.status)
    }

    /// Waits until the node is ready.
    pub fn await_ready(&self) {
        self.await_condition("ready", || self.readiness() == 200);
    }

    /// Waits until `holds`; a test that waits in vain fails with what the node has written.
    pub fn await_condition(&self, what: &str, mut holds: impl FnMut() -> bool) {
        let end = Instant::now() + START_TIMEOUT;
        while !holds() {
            assert!(Instant::now() < end, "not {what}: {}", self.process.output());
            std::thread::sleep(LOOK_PAUSE);
        }
    }

    /// What the node has written.
    pub fn output(&self) -> String {
        self.process.output()
    }
}

fn start(dir: &std::path::Path) -> Process {
    let settings = dir.join("node.toml").display().to_string();
    Process::start(dir, "poplartraild", "node", &["--platform".to_owned(), settings])
}

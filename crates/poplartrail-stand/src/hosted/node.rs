//! A node that the stand-in platform runs as a process.

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

/// Longest wait for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which an awaited condition is checked.
const CONDITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A node process of the stand-in platform, killed on drop.
#[derive(Debug)]
pub struct HostedNode {
    process: Process,
    dir: PathBuf,
    vm: String,
    service: String,
    /// Address where the node accepts requests of callers on its VM.
    pub requests_addr: SocketAddr,
    /// Address where the node serves readiness checks.
    pub ready_addr: SocketAddr,
    /// Address where the node accepts heartbeats and deregistrations of its instance.
    pub control_addr: SocketAddr,
    /// Address where the node serves its metrics, status and events.
    pub report_addr: SocketAddr,
    /// Sequence number of the last heartbeat that was sent.
    heartbeat_seq: u64,
}

impl HostedNode {
    /// Starts a store with the configuration `site`, an instance, and a ready node of the service
    /// `routes` that has accepted a heartbeat of the instance.
    pub fn start_single(site: &str) -> (StandStore, StandInstance, Self) {
        Self::start_single_with(site, "")
    }

    /// Starts the same with further settings of the table `limits`.
    pub fn start_single_with(site: &str, limits: &str) -> (StandStore, StandInstance, Self) {
        let store = StandStore::start();
        store.publish(site);
        let instance = StandInstance::start("i-1");
        let mut node = Self::start_with("vm-1", "routes", &store, &instance, limits);
        node.await_ready();
        assert_eq!(
            node.send_heartbeat(&instance, "ready"),
            200,
            "the node should accept the heartbeat"
        );
        (store, instance, node)
    }

    /// Starts a node of `service` on the VM `vm`, whose upstream is `instance`.
    ///
    /// Returns without waiting until the node is ready.
    pub fn start(vm: &str, service: &str, store: &StandStore, instance: &StandInstance) -> Self {
        Self::start_with(vm, service, store, instance, "")
    }

    fn start_with(
        vm: &str,
        service: &str,
        store: &StandStore,
        instance: &StandInstance,
        limits: &str,
    ) -> Self {
        static NEXT_NODE: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NODE.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplartrail-hosted-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&dir).expect("the folder for temporary files should be writable");
        let [requests_addr, ready_addr, control_addr, peers_addr, report_addr] =
            std::array::from_fn(|_| free_addr());
        let settings = format!(
            "[node]\nvm = \"{vm}\"\nservice = \"{service}\"\nzone = \"zone-a\"\nregion = \"r\"\n\
             [listen]\nrequests = \"{requests_addr}\"\nready = \"{ready_addr}\"\n\
             control = \"{control_addr}\"\npeers = \"{peers_addr}\"\n\
             report = \"{report_addr}\"\n\
             [upstream]\naddr = \"{}\"\n[store]\naddr = \"{}\"\n\
             [retries]\nratio = 0.1\nburst = 20\n[stop]\ngrace_s = 6\n\
             [limits]\nmax_body_bytes = 67108864\n{limits}",
            instance.addr(),
            store.addr(),
        );
        std::fs::write(dir.join("node.toml"), settings)
            .expect("the test folder should be writable");
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
            heartbeat_seq: 0,
        }
    }

    /// Returns the process of the node, to measure it.
    pub fn process(&self) -> &Process {
        &self.process
    }

    /// Returns the process of the node, to stop it.
    pub fn process_mut(&mut self) -> &mut Process {
        &mut self.process
    }

    /// Name of the VM of the node.
    pub fn vm(&self) -> &str {
        &self.vm
    }

    /// Runs the command-line tool and returns its exit code and output.
    pub fn run_tool(&self, args: &[&str]) -> (i32, String) {
        let args: Vec<String> = args.iter().map(|&arg| arg.to_owned()).collect();
        Process::run_tool(&self.dir, &args)
    }

    /// Kills the process and starts it again with the same settings.
    pub fn restart(&mut self) {
        self.process.kill();
        self.process = start(&self.dir);
    }

    /// Opens a connection of a caller on the VM of the node.
    pub fn caller(&self) -> HostedCaller {
        HostedCaller::connect(self.requests_addr)
    }

    /// Sends a heartbeat of `instance` and returns the status of the response.
    ///
    /// `state` is the state that the instance reports, such as `ready` or `draining`.
    pub fn send_heartbeat(&mut self, instance: &StandInstance, state: &str) -> u16 {
        self.heartbeat_seq += 1;
        let body = json!({
            "service": self.service,
            "address": instance.addr().to_string(),
            "zone": "zone-a",
            "version": "v1",
            "slots": 4,
            "state": state,
            "cold-left-ms": 0,
            "seq": self.heartbeat_seq,
            "born": 1_000,
        });
        self.send_raw_heartbeat(instance.id(), &body.to_string())
    }

    /// Sends a heartbeat of the instance `id` with the given body, which may be malformed.
    ///
    /// Returns the status of the response, or 0 without one.
    pub fn send_raw_heartbeat(&self, id: &str, body: &str) -> u16 {
        self.send_control("PUT", id, body)
    }

    fn send_control(&self, method: &str, id: &str, body: &str) -> u16 {
        let mut caller = HostedCaller::connect(self.control_addr);
        let head = format!(
            "{method} /-/instances/{id} HTTP/1.1\r\nhost: n\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        caller.write(head.as_bytes());
        caller.write(body.as_bytes());
        caller.read().map_or(0, |reply| reply.status)
    }

    /// Sends a deregistration of `instance` and returns the status of the response, or 0 without
    /// one.
    pub fn send_deregistration(&self, instance: &StandInstance) -> u16 {
        self.send_raw_deregistration(instance.id(), "")
    }

    /// Sends a deregistration of the instance `id` with the given body, which may be malformed.
    ///
    /// Returns the status of the response, or 0 without one.
    pub fn send_raw_deregistration(&self, id: &str, body: &str) -> u16 {
        self.send_control("DELETE", id, body)
    }

    /// Sends the end of `instance`, as a heartbeat in state `draining` or as its deregistration, and
    /// returns the status of the response.
    pub fn send_end(&mut self, instance: &StandInstance, is_heartbeat: bool) -> u16 {
        if is_heartbeat {
            self.send_heartbeat(instance, "draining")
        } else {
            self.send_deregistration(instance)
        }
    }

    /// Repeats a message of the instance until the node acknowledges it.
    ///
    /// Panics with the output of the node after 20 seconds.
    pub fn await_acknowledged(&mut self, mut send: impl FnMut(&mut Self) -> u16) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while send(self) != 200 {
            assert!(
                Instant::now() < deadline,
                "no acknowledgement; output of the node:\n{}",
                self.process.output()
            );
            std::thread::sleep(CONDITION_POLL_INTERVAL);
        }
    }

    /// Returns the number of calls in progress at the instance, from the status page of the node.
    pub fn in_flight(&self) -> Option<u64> {
        self.status()?["in_flight"].as_u64()
    }

    /// Returns the status page of the node.
    pub fn status(&self) -> Option<serde_json::Value> {
        let mut caller = HostedCaller::try_connect(self.report_addr)?;
        caller.write(b"GET /status HTTP/1.1\r\nhost: n\r\n\r\n");
        serde_json::from_str(&caller.read()?.body).ok()
    }

    /// Returns the status of the readiness check, or 0 if the node does not respond.
    pub fn readiness(&self) -> u16 {
        let Some(mut caller) = HostedCaller::try_connect(self.ready_addr) else { return 0 };
        caller.write(b"GET /-/ready HTTP/1.1\r\nhost: n\r\n\r\n");
        caller.read().map_or(0, |reply| reply.status)
    }

    /// Waits until the readiness check succeeds.
    pub fn await_ready(&self) {
        self.await_condition("ready", || self.readiness() == 200);
    }

    /// Waits until `is_met` returns true.
    ///
    /// Panics with `expected`, a description of the condition, and the output of the node after
    /// 20 seconds.
    pub fn await_condition(&self, expected: &str, mut is_met: impl FnMut() -> bool) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !is_met() {
            assert!(
                Instant::now() < deadline,
                "condition not met: {expected}; output of the node:\n{}",
                self.process.output()
            );
            std::thread::sleep(CONDITION_POLL_INTERVAL);
        }
    }

    /// Returns what the node has written to standard output and standard error so far.
    pub fn output(&self) -> String {
        self.process.output()
    }
}

fn start(dir: &std::path::Path) -> Process {
    let settings = dir.join("node.toml").display().to_string();
    Process::start(dir, "poplartraild", "node", &["--platform".to_owned(), settings])
}

//! A running fleet: its processes, their addresses and the requests that tests send to them.

use std::{
    collections::HashMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{
    caller::{Call, Caller, Reply},
    certificates::CertificateAuthority,
    fleet::{FleetPlan, NodePlan, Process, free_addr},
    log::Faults,
    upstream::{Behaviour, Counts},
};

/// Longest wait for a process of the fleet to reach an awaited state.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which an awaited state is checked.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of key slots of each service and availability zone, as every base file of the tests sets
/// it.
///
/// A key slot is a part of the space of idempotency keys that one node holds under a lease. It is
/// unrelated to the slots of an upstream.
const KEY_SLOTS: u64 = 2;
/// Site name of every node in a test fleet.
const SITE: &str = "stand";

static NEXT_FLEET: AtomicU32 = AtomicU32::new(0);

/// A running node and its upstream.
pub struct NodeHandle {
    /// Name of the VM that the node claims to run on.
    pub vm: String,
    /// Address where the node accepts requests of callers.
    pub callers_addr: SocketAddr,
    /// Address where the node accepts outbound calls of its upstream.
    pub outbound_addr: SocketAddr,
    /// Address where the node accepts connections of other nodes.
    pub peers_addr: SocketAddr,
    /// Address where the node serves its health, metrics, status and events.
    pub report_addr: SocketAddr,
    /// Address of the stand-in upstream.
    pub upstream_addr: SocketAddr,
    /// Process of the daemon.
    pub daemon: Process,
    /// Process of the stand-in upstream.
    pub upstream_process: Process,
    settings_path: PathBuf,
}

/// A running fleet of a test, whose processes are killed on drop.
pub struct Fleet {
    /// Nodes in the order of the plan, followed by those added later.
    pub nodes: Vec<NodeHandle>,
    /// Address of the stand-in for the platform log, which carries configuration and member records
    /// and which every node polls.
    pub log_addr: SocketAddr,
    /// Process of the stand-in for the platform log.
    pub log_process: Process,
    /// Authority that issues the certificates of nodes added from now on.
    pub authority: CertificateAuthority,
    dir: PathBuf,
    plan: FleetPlan,
}

impl Fleet {
    /// Starts the processes, publishes the configuration and waits until every node is in the phase
    /// `serving`, knows the instances that it may call, and holds its key slots.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_without_routes(plan).await;
        fleet.await_routes().await;
        fleet
    }

    /// Starts the processes, publishes the configuration and waits until every node is in the phase
    /// `serving`.
    pub async fn start_without_routes(plan: FleetPlan) -> Self {
        let number = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplartrail-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("the folder for temporary files should be writable");
        let log_addr = free_addr();
        let retention = plan.retention.as_secs().to_string();
        let args = ["--retention-s".to_owned(), retention, log_addr.to_string()];
        let log_process = Process::start(&dir, "stand-log", "log", &args);
        let authority = CertificateAuthority::new();
        let mut fleet =
            Self { nodes: Vec::new(), log_addr, log_process, authority, dir, plan: plan.clone() };
        fleet.await_log().await;
        for node in &plan.nodes {
            fleet.add_node(node);
        }
        fleet.publish_initial("base", &plan.base);
        if !plan.overlay.is_empty() {
            fleet.publish_initial(SITE, &plan.overlay);
        }
        fleet.await_serving().await;
        fleet
    }

    /// Starts a node and its stand-in upstream, without waiting for either.
    pub fn add_node(&mut self, plan: &NodePlan) {
        let addrs: Vec<SocketAddr> = (0..5).map(|_| free_addr()).collect();
        let [callers_addr, outbound_addr, peers_addr, report_addr, upstream_addr] = addrs[..]
        else {
            unreachable!("five addresses are picked")
        };
        let pem = self.authority.issue(&plan.vm);
        let file = |name: &str| self.dir.join(format!("{}-{name}", plan.vm));
        let write = |path: &Path, text: &str| {
            fs::write(path, text).expect("the test folder should be writable");
        };
        write(&file("ca.pem"), &self.authority.cert_pem());
        write(&file("cert.pem"), &pem.cert);
        write(&file("key.pem"), &pem.key);
        let seeds: String = self
            .nodes
            .iter()
            .filter(|_| plan.has_seeds)
            .map(|seed| format!("[[seed]]\nvm = {:?}\naddr = \"{}\"\n", seed.vm, seed.peers_addr))
            .collect();
        let settings = format!(
            "[node]\nvm = {:?}\nservice = {:?}\nzone = {:?}\n\
             region = \"loopback\"\nsite = {SITE:?}\n\
             [listen]\ncallers = \"{callers_addr}\"\nupstream = \"{outbound_addr}\"\n\
             peers = \"{peers_addr}\"\nreport = \"{report_addr}\"\n\
             [upstream]\naddr = \"{upstream_addr}\"\n\
             load_path = \"/stand/load\"\nload_poll_ms = 200\n\
             [platform]\naddr = \"{}\"\npoll_ms = {}\ntimeout_ms = 500\nretention_s = {}\n\
             [tls]\nca = {:?}\ncert = {:?}\nkey = {:?}\n{}{seeds}",
            plan.vm,
            plan.service,
            plan.zone,
            self.log_addr,
            self.plan.poll_interval.as_millis(),
            self.plan.retention.as_secs(),
            file("ca.pem"),
            file("cert.pem"),
            file("key.pem"),
            self.plan.extra_settings,
        );
        write(&file("settings.toml"), &settings);
        let mut args = vec![
            "--work-us".to_owned(),
            plan.behaviour.work_us.to_string(),
            "--slots".to_owned(),
            plan.behaviour.slots.to_string(),
        ];
        if let Some(next) = &plan.next_service {
            args.extend(["--next".to_owned(), next.clone()]);
        }
        args.extend([outbound_addr.to_string(), upstream_addr.to_string()]);
        let label = format!("{}-upstream", plan.vm);
        let upstream_process = Process::start(&self.dir, "stand-upstream", &label, &args);
        let settings_path = file("settings.toml");
        let daemon = self.start_daemon(&plan.vm, &settings_path);
        let vm = plan.vm.clone();
        let node = NodeHandle {
            vm,
            callers_addr,
            outbound_addr,
            peers_addr,
            report_addr,
            upstream_addr,
            daemon,
            upstream_process,
            settings_path,
        };
        self.nodes.push(node);
    }

    fn start_daemon(&self, vm: &str, settings_path: &Path) -> Process {
        let args = [settings_path.display().to_string()];
        Process::start(&self.dir, "poplartraild", vm, &args)
    }

    /// Kills the daemon of the node at `index` and starts it again with the same settings.
    ///
    /// The other nodes see the same as when the VM of the node is replaced.
    pub fn restart(&mut self, index: usize) {
        let (vm, settings_path) =
            (self.nodes[index].vm.clone(), self.nodes[index].settings_path.clone());
        self.nodes[index].daemon.kill();
        self.nodes[index].daemon = self.start_daemon(&vm, &settings_path);
    }

    fn publish_initial(&self, document: &str, text: &str) {
        let (code, output) = self.publish(document, text, 0);
        assert_eq!(code, 0, "the tool should publish {document}: {output}");
    }

    /// Publishes the base file (`base`) or the overlay of a site with the command-line tool.
    ///
    /// `expected_version` is the version that the change is made against, 0 for the first one.
    /// Returns the exit code and the output of the tool.
    pub fn publish(&self, document: &str, text: &str, expected_version: u64) -> (i32, String) {
        let path = self.dir.join(format!("{document}-{expected_version}.toml"));
        fs::write(&path, text).expect("the test folder should be writable");
        let mut args = vec![
            "publish".to_owned(),
            "--log".to_owned(),
            self.log_addr.to_string(),
            "--author".to_owned(),
            "tester".to_owned(),
            "--against".to_owned(),
            expected_version.to_string(),
        ];
        if document != "base" {
            args.extend(["--site".to_owned(), document.to_owned()]);
        }
        args.push(path.display().to_string());
        self.run_tool(&args)
    }

    /// Runs the command-line tool and returns its exit code and output.
    pub fn run_tool(&self, args: &[String]) -> (i32, String) {
        Process::run_tool(&self.dir, args)
    }

    /// Returns a caller of the node at `index`.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.nodes[index].callers_addr)
    }

    /// Requests the page `path` from the report address of the node at `index`.
    pub async fn page(&self, index: usize, path: &str) -> Reply {
        let result = Caller::new(self.nodes[index].report_addr).send(&Call::get(path)).await;
        result.unwrap_or_else(|err| panic!("GET {path} got no response: {err}"))
    }

    /// Returns the status page of the node at `index`, or `None` if it does not respond.
    pub async fn status(&self, index: usize) -> Option<Value> {
        self.get(self.nodes[index].report_addr, "/status").await
    }

    /// Returns what the upstream of the node at `index` has counted since its start, or zeros if
    /// it does not respond.
    pub async fn upstream_counts(&self, index: usize) -> Counts {
        self.get(self.nodes[index].upstream_addr, "/stand/counts").await.unwrap_or_default()
    }

    /// Returns how many times calls with the idempotency key `key` ran at all upstreams together.
    pub async fn runs_of_key(&self, key: &str) -> u32 {
        let mut runs = 0;
        for index in 0..self.nodes.len() {
            runs += self.upstream_counts(index).await.keys.get(key).copied().unwrap_or(0);
        }
        runs
    }

    /// Replaces the behaviour of the upstream of the node at `index`.
    ///
    /// `slots` changes only what the load endpoint states: the upstream keeps the number of slots
    /// with which it started.
    pub async fn set_behaviour(&self, index: usize, behaviour: &Behaviour) {
        let body = serde_json::to_vec(behaviour).expect("a behaviour should serialize");
        self.post(self.nodes[index].upstream_addr, "/stand/control", body).await;
    }

    /// Replaces the faults of the stand-in log; the default value clears them.
    pub async fn set_log_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("faults should serialize");
        self.post(self.log_addr, "/control", body).await;
    }

    /// Returns what the stand-in log has counted since its start, or JSON `null` if it does not
    /// respond.
    pub async fn log_counts(&self) -> Value {
        self.get(self.log_addr, "/counts").await.unwrap_or_default()
    }

    async fn post(&self, addr: SocketAddr, path: &str, body: Vec<u8>) -> Reply {
        let result = Caller::new(addr).send(&Call::post(path, body)).await;
        result.unwrap_or_else(|err| panic!("POST {addr}{path} got no response: {err}"))
    }

    async fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Option<T> {
        let reply = Caller::new(addr).send(&Call::get(path)).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Waits until the status page of the node at `index` satisfies `is_met`.
    ///
    /// Panics after 30 seconds with `expected`, which describes the awaited state, the last status,
    /// and the output of the daemon.
    pub async fn await_status(
        &self,
        index: usize,
        expected: &str,
        is_met: impl Fn(&Value) -> bool,
    ) {
        let deadline = Instant::now() + STATE_TIMEOUT;
        let mut last = None;
        while Instant::now() < deadline {
            last = self.status(index).await;
            if last.as_ref().is_some_and(&is_met) {
                return;
            }
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
        let output = self.nodes[index].daemon.output();
        panic!(
            "node {index} did not reach the awaited state: {expected}; last status: {last:?}; \
             output of its daemon:\n{output}"
        );
    }

    /// Waits until every node is in the phase `serving`.
    pub async fn await_serving(&self) {
        for index in 0..self.nodes.len() {
            self.await_status(index, "serving", |status| status["phase"] == "serving").await;
        }
    }

    /// Waits until every node lists the instances that it may call and holds key slots, and the key
    /// slots of each service and availability zone are divided evenly.
    ///
    /// Only planned nodes are counted. A node that was added later is checked like the last node of
    /// the plan, and its key slots are left out, so call this before [`Fleet::add_node`].
    pub async fn await_routes(&self) {
        for index in 0..self.nodes.len() {
            let plan = &self.plan.nodes[index.min(self.plan.nodes.len() - 1)];
            let services: Vec<&String> =
                [Some(&plan.service), plan.next_service.as_ref()].into_iter().flatten().collect();
            let planned = self.plan.nodes.iter().filter(|n| services.contains(&&n.service)).count();
            self.await_status(
                index,
                "routing: knows its instances and holds key slots",
                |status| {
                    let len = status["instances"].as_array().map_or(0, Vec::len);
                    len + 1 >= planned && status["slots"] != 0
                },
            )
            .await;
        }
        self.await_slots().await;
    }

    /// Waits until the planned nodes of each service and availability zone hold all its key slots,
    /// divided evenly.
    async fn await_slots(&self) {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while Instant::now() < deadline {
            if self.has_even_slots().await {
                return;
            }
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
        panic!("the key slots are not divided evenly among the planned nodes");
    }

    async fn has_even_slots(&self) -> bool {
        let mut held_slots: HashMap<(&str, &str), Vec<u64>> = HashMap::new();
        for (index, node) in self.plan.nodes.iter().enumerate() {
            let status = self.status(index).await.unwrap_or_default();
            let slots = status["slots"].as_u64().unwrap_or(0);
            held_slots.entry((&node.service, &node.zone)).or_default().push(slots);
        }
        held_slots.values().all(|slots| {
            let max_held = KEY_SLOTS.div_ceil(slots.len() as u64);
            slots.iter().sum::<u64>() == KEY_SLOTS && slots.iter().all(|held| *held <= max_held)
        })
    }

    async fn await_log(&self) {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while Instant::now() < deadline {
            if self.log_counts().await.is_object() {
                return;
            }
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
        panic!(
            "the stand-in log at {} does not respond; its output:\n{}",
            self.log_addr,
            self.log_process.output()
        );
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.daemon.kill();
            node.upstream_process.kill();
        }
        self.log_process.kill();
        // Files that stay in the folder for temporary files do no harm.
        drop(fs::remove_dir_all(&self.dir));
    }
}

//! A fleet that runs.

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

/// Time within which a fleet must serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks at a condition.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Key slots of each service and availability zone in the base files of the tests.
const KEY_SLOTS: u64 = 2;
/// Site of the stand-in fleets.
const SITE: &str = "stand";

static FLEETS: AtomicU32 = AtomicU32::new(0);

/// One node with its upstream.
pub struct NodeHandle {
    /// Name of the VM.
    pub vm: String,
    /// Address for callers.
    pub callers_addr: SocketAddr,
    /// Address for the upstream's outbound calls.
    pub outbound_addr: SocketAddr,
    /// Address for other nodes.
    pub peers_addr: SocketAddr,
    /// Address for operators.
    pub report_addr: SocketAddr,
    /// Address of the upstream.
    pub upstream_addr: SocketAddr,
    /// The daemon.
    pub daemon: Process,
    /// The upstream's process.
    pub upstream_process: Process,
    settings: PathBuf,
}

/// Processes of a test, killed when dropped.
pub struct Fleet {
    /// The nodes, in the order of the plan.
    pub nodes: Vec<NodeHandle>,
    /// Address of the log.
    pub log_addr: SocketAddr,
    /// The log's process.
    pub log_process: Process,
    /// The certificate authority.
    pub authority: CertificateAuthority,
    dir: PathBuf,
    plan: FleetPlan,
}

impl Fleet {
    /// Starts the processes, publishes the base file, and waits until every node serves.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_without_routes(plan).await;
        fleet.await_routes().await;
        fleet
    }

    /// Starts the processes, publishes the base file, and waits until every node is configured.
    pub async fn start_without_routes(plan: FleetPlan) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let name = format!("poplartrail-{}-{number}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir).expect("the folder for temporary files can be written");
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
        fleet.publish_first("base", &plan.base);
        if !plan.overlay.is_empty() {
            fleet.publish_first(SITE, &plan.overlay);
        }
        fleet.await_serving().await;
        fleet
    }

    /// Starts one more node.
    pub fn add_node(&mut self, plan: &NodePlan) {
        let addrs: Vec<SocketAddr> = (0..5).map(|_| free_addr()).collect();
        let [callers_addr, outbound_addr, peers_addr, report_addr, upstream_addr] = addrs[..]
        else {
            unreachable!("five addresses were taken")
        };
        let pem = self.authority.issue(&plan.vm);
        let file = |name: &str| self.dir.join(format!("{}-{name}", plan.vm));
        let write = |path: &Path, text: &str| {
            fs::write(path, text).expect("the folder of the test can be written");
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
            "[node]\nvm = {:?}\nservice = {:?}\nzone = {:?}\nregion = \"loopback\"\nsite = {SITE:?}\n\
             [listen]\ncallers = \"{callers_addr}\"\nupstream = \"{outbound_addr}\"\npeers = \"{peers_addr}\"\n\
             report = \"{report_addr}\"\n\
             [upstream]\naddr = \"{upstream_addr}\"\nload_path = \"/stand/load\"\nload_poll_ms = 200\n\
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
        let settings = file("settings.toml");
        let daemon = self.start_daemon(&plan.vm, &settings);
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
            settings,
        };
        self.nodes.push(node);
    }

    fn start_daemon(&self, vm: &str, settings: &Path) -> Process {
        let args = [settings.display().to_string()];
        Process::start(&self.dir, "poplartraild", vm, &args)
    }

    /// Starts the daemon of a node again, as after a replacement of its VM.
    pub fn restart(&mut self, at: usize) {
        let (vm, settings) = (self.nodes[at].vm.clone(), self.nodes[at].settings.clone());
        self.nodes[at].daemon.kill();
        self.nodes[at].daemon = self.start_daemon(&vm, &settings);
    }

    fn publish_first(&self, document: &str, text: &str) {
        let (code, output) = self.publish(document, text, 0);
        assert_eq!(code, 0, "{document} is not published: {output}");
    }

    /// Publishes a document with the command-line tool and returns its exit code and output.
    pub fn publish(&self, document: &str, text: &str, made_against: u64) -> (i32, String) {
        let path = self.dir.join(format!("{document}-{made_against}.toml"));
        fs::write(&path, text).expect("the folder of the test can be written");
        let mut args = vec![
            "publish".to_owned(),
            "--log".to_owned(),
            self.log_addr.to_string(),
            "--author".to_owned(),
            "tester".to_owned(),
            "--against".to_owned(),
            made_against.to_string(),
        ];
        if document != "base" {
            args.extend(["--site".to_owned(), document.to_owned()]);
        }
        args.push(path.display().to_string());
        self.run_tool(&args)
    }

    /// Runs the command-line tool.
    pub fn run_tool(&self, args: &[String]) -> (i32, String) {
        Process::run_tool(&self.dir, args)
    }

    /// A caller of the node at `at`.
    pub fn caller(&self, at: usize) -> Caller {
        Caller::new(self.nodes[at].callers_addr)
    }

    /// A page that the node at `at` has for operators.
    pub async fn page(&self, at: usize, path: &str) -> Reply {
        let sent = Caller::new(self.nodes[at].report_addr).send(&Call::get(path)).await;
        sent.unwrap_or_else(|err| panic!("{path} does not answer: {err}"))
    }

    /// What the node at `at` says of itself.
    pub async fn status(&self, at: usize) -> Option<Value> {
        self.get(self.nodes[at].report_addr, "/status").await
    }

    /// What truly ran at the upstream of the node at `at`.
    pub async fn upstream_counts(&self, at: usize) -> Counts {
        self.get(self.nodes[at].upstream_addr, "/stand/counts").await.unwrap_or_default()
    }

    /// Runs of `key` at all upstreams together.
    pub async fn runs_of_key(&self, key: &str) -> u32 {
        let mut runs = 0;
        for at in 0..self.nodes.len() {
            runs += self.upstream_counts(at).await.keys.get(key).copied().unwrap_or(0);
        }
        runs
    }

    /// Changes how the upstream of the node at `at` behaves.
    pub async fn set_behaviour(&self, at: usize, behaviour: &Behaviour) {
        let body = serde_json::to_vec(behaviour).expect("a behaviour is plain data");
        self.post(self.nodes[at].upstream_addr, "/stand/control", body).await;
    }

    /// Changes the faults of the log.
    pub async fn set_log_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("faults are plain data");
        self.post(self.log_addr, "/control", body).await;
    }

    /// What the log has counted since its start.
    pub async fn log_counts(&self) -> Value {
        self.get(self.log_addr, "/counts").await.unwrap_or_default()
    }

    async fn post(&self, to: SocketAddr, path: &str, body: Vec<u8>) -> Reply {
        let sent = Caller::new(to).send(&Call::post(path, body)).await;
        sent.unwrap_or_else(|err| panic!("{to}{path} does not answer: {err}"))
    }

    async fn get<T: DeserializeOwned>(&self, from: SocketAddr, path: &str) -> Option<T> {
        let reply = Caller::new(from).send(&Call::get(path)).await.ok()?;
        serde_json::from_slice(&reply.body).ok()
    }

    /// Waits until `is_so` holds for the status of the node at `at`.
    pub async fn await_status(&self, at: usize, what: &str, is_so: impl Fn(&Value) -> bool) {
        let end = Instant::now() + START_TIMEOUT;
        let mut last = None;
        while Instant::now() < end {
            last = self.status(at).await;
            if last.as_ref().is_some_and(&is_so) {
                return;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        let output = self.nodes[at].daemon.output();
        panic!("node {at} is not {what}; status {last:?}; its log:\n{output}");
    }

    /// Waits until every node serves.
    pub async fn await_serving(&self) {
        for at in 0..self.nodes.len() {
            self.await_status(at, "serving", |status| status["phase"] == "serving").await;
        }
    }

    /// Waits until every node knows the instances that it may call, and holds its key slots.
    pub async fn await_routes(&self) {
        for at in 0..self.nodes.len() {
            let own = &self.plan.nodes[at.min(self.plan.nodes.len() - 1)];
            let services: Vec<&String> =
                [Some(&own.service), own.next_service.as_ref()].into_iter().flatten().collect();
            let known = self.plan.nodes.iter().filter(|n| services.contains(&&n.service)).count();
            self.await_status(at, "routing", |status| {
                let len = status["instances"].as_array().map_or(0, Vec::len);
                len + 1 >= known && status["slots"] != 0
            })
            .await;
        }
        self.await_slots().await;
    }

    /// Waits until the key slots of each service and availability zone are divided evenly.
    async fn await_slots(&self) {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.has_even_slots().await {
                return;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        panic!("the key slots are not divided evenly");
    }

    async fn has_even_slots(&self) -> bool {
        let mut held: HashMap<(&str, &str), Vec<u64>> = HashMap::new();
        for (at, node) in self.plan.nodes.iter().enumerate() {
            let status = self.status(at).await.unwrap_or_default();
            let slots = status["slots"].as_u64().unwrap_or(0);
            held.entry((&node.service, &node.zone)).or_default().push(slots);
        }
        held.values().all(|slots| {
            let parts = KEY_SLOTS.div_ceil(slots.len() as u64);
            slots.iter().sum::<u64>() == KEY_SLOTS && slots.iter().all(|held| *held <= parts)
        })
    }

    async fn await_log(&self) {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            if self.log_counts().await.is_object() {
                return;
            }
            tokio::time::sleep(LOOK_PAUSE).await;
        }
        panic!("the log does not serve {}: {}", self.log_addr, self.log_process.output());
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for node in &mut self.nodes {
            node.daemon.kill();
            node.upstream_process.kill();
        }
        self.log_process.kill();
        // What is left in the folder for temporary files does no harm.
        drop(fs::remove_dir_all(&self.dir));
    }
}

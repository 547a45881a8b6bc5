//! Plans of a fleet: its nodes, their upstreams and the configuration.

use std::time::Duration;

use crate::upstream::Behaviour;

/// Plan of one node and its upstream.
#[derive(Debug, Clone)]
pub struct NodePlan {
    pub(crate) vm: String,
    pub(crate) service: String,
    pub(crate) zone: String,
    pub(crate) next_service: Option<String>,
    pub(crate) behaviour: Behaviour,
    pub(crate) has_seeds: bool,
}

impl NodePlan {
    /// Plans a node of `service` in the availability zone `zone` on the VM `vm`.
    pub fn new(vm: &str, service: &str, zone: &str) -> Self {
        Self {
            vm: vm.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            next_service: None,
            behaviour: Behaviour::default(),
            has_seeds: false,
        }
    }

    /// Makes the upstream call `service` once for each call that it runs.
    #[must_use]
    pub fn next_service(mut self, service: &str) -> Self {
        self.next_service = Some(service.to_owned());
        self
    }

    /// Lists the nodes that are already running as seeds in the settings of this node.
    #[must_use]
    pub fn with_seeds(mut self) -> Self {
        self.has_seeds = true;
        self
    }

    /// Sets the initial behaviour of the upstream: its service time and its slots.
    #[must_use]
    pub fn behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

/// Plan of a fleet and of the platform log that it reads.
#[derive(Debug, Clone)]
pub struct FleetPlan {
    pub(crate) nodes: Vec<NodePlan>,
    pub(crate) base: String,
    pub(crate) overlay: String,
    pub(crate) extra_settings: String,
    pub(crate) poll_interval: Duration,
    pub(crate) retention: Duration,
}

impl FleetPlan {
    /// Plans a fleet without nodes whose operators publish `base` as the base file.
    pub fn new(base: &str) -> Self {
        Self {
            nodes: Vec::new(),
            base: base.to_owned(),
            overlay: String::new(),
            extra_settings: String::new(),
            poll_interval: Duration::from_millis(100),
            retention: Duration::from_secs(3600),
        }
    }

    /// Adds a node.
    #[must_use]
    pub fn node(mut self, node: NodePlan) -> Self {
        self.nodes.push(node);
        self
    }

    /// Appends TOML tables to the settings file of every node.
    #[must_use]
    pub fn extra_settings(mut self, toml: &str) -> Self {
        self.extra_settings = toml.to_owned();
        self
    }

    /// Sets the interval at which each node reads the log.
    #[must_use]
    pub fn poll_interval(mut self, poll_interval: Duration) -> Self {
        self.poll_interval = poll_interval;
        self
    }

    /// Sets how long the log keeps a record.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}

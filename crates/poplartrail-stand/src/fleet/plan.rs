//! What a fleet consists of.

use std::time::Duration;

use crate::upstream::Behaviour;

/// One node with its upstream.
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
    /// A node of `service` in `zone` on the VM `vm`.
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

    /// Lets its upstream call `service` for each call.
    #[must_use]
    pub fn next_service(mut self, service: &str) -> Self {
        self.next_service = Some(service.to_owned());
        self
    }

    /// Names the nodes that run already as seeds in its settings.
    #[must_use]
    pub fn with_seeds(mut self) -> Self {
        self.has_seeds = true;
        self
    }

    /// Sets how its upstream behaves.
    #[must_use]
    pub fn behaviour(mut self, behaviour: Behaviour) -> Self {
        self.behaviour = behaviour;
        self
    }
}

/// A whole fleet.
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
    /// A fleet under the base file `base`.
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

    /// Adds tables to every settings file.
    #[must_use]
    pub fn extra_settings(mut self, toml: &str) -> Self {
        self.extra_settings = toml.to_owned();
        self
    }

    /// Sets the time between two reads of the log by a node.
    #[must_use]
    pub fn poll_interval(mut self, poll_interval: Duration) -> Self {
        self.poll_interval = poll_interval;
        self
    }

    /// Sets the time for which the log keeps records.
    #[must_use]
    pub fn retention(mut self, retention: Duration) -> Self {
        self.retention = retention;
        self
    }
}

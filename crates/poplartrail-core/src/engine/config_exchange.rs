//! Exchange of the configuration with other nodes.

use std::time::Duration;

use crate::{
    config::Snapshot,
    engine::{Calls, Node, Output},
    names::VmName,
    time::Time,
};

/// Minimum time between two rounds of requests to the seeds.
const SEED_ASK_INTERVAL: Duration = Duration::from_secs(1);

impl Node {
    /// Returns the configuration in force in the form that other nodes receive.
    pub fn config_snapshot(&self) -> Option<Snapshot> {
        match self.site_config() {
            Some(site) => Some(Snapshot::of_hosted_node(site.version.0, site.document.clone())),
            None => self.cluster.config_state().snapshot(),
        }
    }

    /// Returns the configuration in force for the node on `vm`, which has `known_version`, if it is
    /// newer. Asks that node for its own if that one is.
    pub fn handle_config_request(
        &mut self,
        now: Time,
        vm: &VmName,
        known_version: u64,
        out: &mut Vec<Output>,
    ) -> Option<Snapshot> {
        if self.cluster.should_ask_config(now, known_version)
            && let Some((_, instance)) = self.calls.router().get_by_vm(vm)
        {
            let known_version = self.cluster.config_version();
            out.push(Output::AskConfig { addr: instance.addr, vm: vm.clone(), known_version });
            self.cluster.record_config_asked(now);
        }
        self.config_snapshot().filter(|snapshot| snapshot.version > known_version)
    }

    /// Compares the configuration with another node if a check is due. A hosted node otherwise
    /// learns of a newer version only from the store, whose response may be lost, and from the
    /// replies to its calls.
    pub(super) fn check_config(&mut self, now: Time, out: &mut Vec<Output>) {
        let Calls { router, rng, .. } = &mut self.calls;
        if let Some((vm, addr)) = self.config_check.poll_due(now, router, &self.local_member, rng) {
            let known_version = self.cluster.config_version();
            out.push(Output::AskConfig { addr, vm, known_version });
        }
    }

    /// Asks the seeds for configuration and members while there is no configuration, in case the
    /// log cannot be read.
    pub(super) fn ask_seeds(&mut self, now: Time, out: &mut Vec<Output>) {
        if self.seeds.is_empty() || now < self.next_ask_seeds_at {
            return;
        }
        self.next_ask_seeds_at = now + SEED_ASK_INTERVAL;
        for (vm, addr) in &self.seeds {
            out.push(Output::AskConfig { addr: *addr, vm: vm.clone(), known_version: 0 });
            out.push(Output::AskMembers {
                addr: *addr,
                vm: vm.clone(),
                local_record: self.calls.local_record(),
            });
        }
    }
}

//! Periodic comparison of the configuration with other nodes.

use std::{net::SocketAddr, time::Duration};

use rand::{Rng, rngs::SmallRng, seq::IndexedRandom};

use crate::{
    member::Member,
    names::VmName,
    route::{Instance, Router},
    time::Time,
};

/// Mean time between two checks, which bounds how long a node serves by an old configuration that
/// the store does not tell it of.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of checks of which one goes to another availability zone if the own one has few nodes.
const CHECKS_PER_REMOTE_CHECK: u32 = 4;
/// Number of other nodes in the zone from which on none of another zone is asked: bytes between zones
/// are priced, and the long poll of one of these nodes soon notices a fault that hits all of them.
const MANY_NEAR_NODES: usize = 4;
/// Time since its last reply for which a connection to another node is taken to be open.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(20);

/// Node of another availability zone that is asked again and again, to keep one connection only.
#[derive(Debug)]
struct RemotePartner {
    vm: VmName,
    has_replied: bool,
}

/// Schedule of the checks and the choice of the node to ask: one of the own availability zone, or in
/// a small zone at times one of another, since a fault of the store may hit the zone as a whole.
#[derive(Debug, Default)]
pub(crate) struct ConfigCheck {
    next_at: Time,
    /// Number of checks that have been due.
    checks: u32,
    remote: Option<RemotePartner>,
}

impl ConfigCheck {
    /// Returns the time of the next check.
    pub(crate) fn next_at(&self) -> Time {
        self.next_at
    }

    /// Returns the node to ask if a check is due, and schedules the next one.
    pub(crate) fn poll_due(
        &mut self,
        now: Time,
        router: &Router,
        local: &Member,
        rng: &mut SmallRng,
    ) -> Option<(VmName, SocketAddr)> {
        if now < self.next_at {
            return None;
        }
        // Jitter keeps nodes that start together from checking together.
        self.next_at = now + CHECK_INTERVAL.mul_f64(rng.random_range(0.75..1.25));
        self.checks = self.checks.wrapping_add(1);
        let others = router.iter().map(|(_, instance)| instance);
        let (near, remote): (Vec<&Instance>, Vec<&Instance>) = others
            .filter(|instance| instance.vm != local.vm && instance.is_available(now))
            .partition(|instance| instance.zone == local.zone);
        let is_remote_check = near.len() < MANY_NEAR_NODES
            && self.checks.is_multiple_of(CHECKS_PER_REMOTE_CHECK)
            && !remote.is_empty();
        let chosen = if near.is_empty() || is_remote_check {
            self.choose_remote(&remote, rng)
        } else {
            choose_near(now, &near, rng)
        };
        chosen.map(|instance| (instance.vm.clone(), instance.addr))
    }

    /// Records that the node on `vm` has replied to a check.
    pub(crate) fn record_reply(&mut self, vm: &VmName) {
        if let Some(partner) = self.remote.as_mut().filter(|partner| partner.vm == *vm) {
            partner.has_replied = true;
        }
    }

    /// Returns the present partner, or a random one if that has gone or left the last check without
    /// a reply.
    fn choose_remote<'a>(
        &mut self,
        remote: &[&'a Instance],
        rng: &mut SmallRng,
    ) -> Option<&'a Instance> {
        let present = self.remote.take().filter(|partner| partner.has_replied);
        let present = present.and_then(|partner| remote.iter().find(|i| i.vm == partner.vm));
        let chosen = present.or_else(|| remote.choose(rng)).copied();
        self.remote = chosen.map(|i| RemotePartner { vm: i.vm.clone(), has_replied: false });
        chosen
    }
}

/// Returns a random node, preferably one to which a connection is open.
fn choose_near<'a>(now: Time, near: &[&'a Instance], rng: &mut SmallRng) -> Option<&'a Instance> {
    let is_connected = |instance: &&&Instance| {
        instance.last_answered_at().is_some_and(|at| now.since(at) < CONNECTION_LIFETIME)
    };
    let connected: Vec<&Instance> = near.iter().filter(is_connected).copied().collect();
    connected.choose(rng).or_else(|| near.choose(rng)).copied()
}

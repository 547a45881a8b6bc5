//! Comparison of the configuration with other nodes.
//!
//! Guards against a node whose long poll at the store has died and that asks nobody, or only nodes
//! that the same fault hits.

mod hosted;

use std::time::Duration;

use hosted::{FAR, HostedRun, NEAR};
use poplartrail_core::{
    engine::{Input, Output},
    names::VmName,
    time::Time,
};

/// Time for which the node is run, with a wake-up at each step.
const RUN: Duration = Duration::from_secs(60);
const STEP: Duration = Duration::from_millis(50);

fn asked_in(out: &[Output]) -> Option<VmName> {
    out.iter().find_map(|output| match output {
        Output::AskConfig { vm, known_version, .. } => {
            assert_eq!(*known_version, 1, "the other node must send nothing older");
            Some(vm.clone())
        }
        _ => None,
    })
}

/// Runs a node without calls and returns when it asked which node. `replies` tells whether the
/// others reply.
fn checks(run: &mut HostedRun, replies: bool) -> Vec<(Time, VmName)> {
    let (mut now, mut checks) = (Time::from_millis(100), Vec::new());
    let end = now + RUN;
    while now < end {
        if let Some(vm) = asked_in(&run.handle_at(now, Input::Wake)) {
            if replies {
                run.handle_at(now, Input::ConfigConfirmed(vm.clone()));
            }
            checks.push((now, vm));
        }
        now = now + STEP;
    }
    checks
}

#[test]
fn asks_every_second() {
    let checks = checks(&mut HostedRun::new(), true);
    let longest = checks.windows(2).map(|pair| pair[1].0.since(pair[0].0)).max();
    assert!(longest <= Some(Duration::from_millis(1_300)), "{longest:?} without a check");
    assert!(checks.len() <= 80, "{} checks in a minute", checks.len());
}

#[test]
fn asks_in_both_zones() {
    let checks = checks(&mut HostedRun::new(), true);
    let far = checks.iter().filter(|(_, vm)| vm.as_str() == FAR).count();
    let near = checks.iter().filter(|(_, vm)| vm.as_str() == NEAR).count();
    assert!(far >= 12 && near > 2 * far, "{near} near, {far} far");
}

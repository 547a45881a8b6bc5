//! An upstream that turns away a part of its calls although it has slots left, as when some of its
//! workers have failed.
//!
//! Guards against a black hole: it answers fast, so it looks idle and attracts the calls of its
//! zone, each of which fails the request that it belongs to.

mod hosted;

use bytes::Bytes;
use hosted::{HostedRun, READ, forwarded_in};
use poplartrail_core::{
    call::Answer,
    engine::{Input, Output, UpstreamFault},
    time::Time,
};
use test_case::test_case;

/// Load of a gate with all permits in use.
const FULL: u16 = 1_024;

/// Passes `calls` calls at `now`, of which the upstream turns away one in `rejected_every`, and
/// returns the load that the last reply reports.
fn reported_load(run: &mut HostedRun, now: Time, calls: u32, rejected_every: u32) -> u16 {
    let mut load = 0;
    for number in 1..=calls {
        let out = run.receive_call(Time::from_millis(60_000));
        let dispatched = out.iter().find_map(|output| match output {
            Output::Dispatch { call, .. } => Some(*call),
            _ => None,
        });
        let call = dispatched.expect("the call is dispatched");
        let result = if number % rejected_every == 0 {
            Err(UpstreamFault::Rejected)
        } else {
            Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() })
        };
        let out = run.handle_at(now, Input::UpstreamDone { call, result, notice: None });
        let report = out.iter().find_map(|output| match output {
            Output::Reply { report, .. } => Some(report.clone()),
            _ => None,
        });
        load = report.expect("the caller gets a reply").load;
    }
    load
}

#[test_case(2, true; "one in two")]
#[test_case(3, true; "one in three")]
#[test_case(20, false; "one in twenty")]
#[test_case(u32::MAX, false; "none")]
fn shedding_upstream_counts_as_full(rejected_every: u32, is_full: bool) {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    let load = reported_load(&mut run, Time::from_millis(10), 60, rejected_every);
    assert_eq!(load >= FULL, is_full, "load {load}");
}

#[test]
fn upstream_is_tried_again() {
    let mut run = HostedRun::new();
    run.register_upstream(8);
    assert!(reported_load(&mut run, Time::from_millis(10), 60, 2) >= FULL);
    let load = reported_load(&mut run, Time::from_millis(2_500), 1, u32::MAX);
    assert!(load < FULL, "load {load}");
}

/// Another instance with room gets the calls, although it is in another zone.
#[test]
fn calls_leave_the_zone_of_a_shedding_upstream() {
    let mut run = HostedRun::new();
    run.report_loads(2 * FULL, 100);
    for _ in 0..10 {
        let call = forwarded_in(&run.request(READ)).expect("the call is forwarded");
        assert_eq!(call.vm.as_str(), hosted::FAR);
    }
}

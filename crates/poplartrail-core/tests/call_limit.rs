//! The rate of calls that the local upstream names, at the gate in front of it.
//!
//! Guards against a gate that knows only slots, and against a limit that ends early because answers
//! overtake each other.

mod hosted;

use std::time::Duration;

use bytes::Bytes;
use hosted::{HostedRun, dispatched_in};
use poplartrail_core::{
    call::Answer,
    engine::Input,
    time::Time,
    upstream::{CallLimit, CallRate, NamedLimit, UpstreamNotice},
};
use test_case::test_case;

const SLOTS: usize = 100;
/// Time of a call at the upstream.
const WORK_TIME: Duration = Duration::from_millis(5);

fn rate(per_second: f64) -> NamedLimit {
    NamedLimit::Rate(CallRate::from_per_second(per_second).expect("a rate"))
}

/// Passes a call every 10 ms for `seconds` to an upstream that names `limit` in all answers, and
/// returns the times at which calls were dispatched to it.
fn dispatch_times(run: &mut HostedRun, from: Time, seconds: u64, limit: NamedLimit) -> Vec<Time> {
    let mut times = Vec::new();
    let notice = Some(UpstreamNotice { limit, is_leaving: false });
    for step in 0..seconds * 100 {
        let now = from + Duration::from_millis(10) * step as u32;
        let mut out = run.wake_at(now);
        out.extend(run.receive_call_at(now, now + Duration::from_secs(1)));
        for call in dispatched_in(&out) {
            times.push(now);
            let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
            let mut next =
                run.handle_at(now + WORK_TIME, Input::UpstreamDone { call, result, notice });
            // A finished call may let a queued one follow.
            while let Some(call) = dispatched_in(&next).first().copied() {
                times.push(now + WORK_TIME);
                let result = Ok(Answer { status: 200, fields: Vec::new(), body: Bytes::new() });
                next = run.handle_at(now + WORK_TIME, Input::UpstreamDone { call, result, notice });
            }
        }
    }
    times
}

/// Returns the largest number of `times` within 4 s, from `start` on.
fn most_in_window(times: &[Time], start: Time) -> usize {
    let times: Vec<Time> = times.iter().copied().filter(|at| *at >= start).collect();
    let count = |from: &Time| {
        times.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(4)).count()
    };
    times.iter().map(count).max().unwrap_or(0)
}

#[test_case(0.0; "zero")]
#[test_case(0.3; "fraction")]
#[test_case(1.0; "one")]
#[test_case(12.2; "as in the incident")]
#[test_case(60.0; "near the demand")]
fn named_limit_bounds_the_calls(per_second: f64) {
    let mut run = HostedRun::new();
    run.register_upstream(SLOTS);
    let times = dispatch_times(&mut run, Time::from_millis(10), 20, rate(per_second));
    let most = most_in_window(&times, Time::from_millis(510));
    let allowed = (1.5 * 4.0 * per_second) as usize + 5;
    assert!(most <= allowed, "{most} calls in 4 s, {allowed} allowed");
    let least = (4.0 * per_second * 0.8) as usize;
    assert!(most >= least, "{most} calls in 4 s: the upstream takes more");
    assert!(most > 0, "no call is left that could withdraw the limit");
}

#[test]
fn limit_above_the_demand_changes_nothing() {
    let mut run = HostedRun::new();
    run.register_upstream(SLOTS);
    let times = dispatch_times(&mut run, Time::from_millis(10), 4, rate(1_000.0));
    assert!(times.len() >= 395, "{} of 400 calls", times.len());
}

#[test]
fn raised_and_withdrawn_limits_hold() {
    let mut run = HostedRun::new();
    run.register_upstream(SLOTS);
    let second = |number: u64| Time::from_millis(10 + number * 1_000);
    let low = dispatch_times(&mut run, second(0), 1, rate(2.0)).len();
    let raised = dispatch_times(&mut run, second(1), 1, rate(20.0)).len();
    let lowered = dispatch_times(&mut run, second(2), 1, rate(1.0)).len();
    let withdrawn = dispatch_times(&mut run, second(3), 2, NamedLimit::Absent).len();
    assert!((2..=6).contains(&low), "{low} at a limit of 2");
    assert!((14..=27).contains(&raised), "{raised} at a limit of 20");
    assert!((1..=7).contains(&lowered), "{lowered} at a limit of 1");
    assert!(withdrawn >= 80, "{withdrawn} after the limit was withdrawn");
}

/// The next incarnation has named nothing yet.
#[test]
fn new_incarnation_has_no_limit() {
    let mut run = HostedRun::new();
    run.send_heartbeat(hosted::WALL, SLOTS);
    dispatch_times(&mut run, Time::from_millis(10), 2, rate(1.0));
    run.send_heartbeat_at(Time::from_millis(2_100), hosted::WALL + Duration::from_secs(1), SLOTS);
    let times = dispatch_times(&mut run, Time::from_millis(2_110), 1, NamedLimit::Absent);
    assert!(times.len() >= 95, "{} of 100 calls", times.len());
}

#[test]
fn overtaken_answer_lifts_nothing() {
    let at = Time::from_millis;
    let mut limit = CallLimit::default();
    assert!(limit.observe(at(100), at(50), rate(5.0)));
    assert!(!limit.observe(at(110), at(60), NamedLimit::Absent), "dispatched before it was named");
    assert!(!limit.observe(at(120), at(60), rate(9.0)), "dispatched before it was named");
    assert!(!limit.observe(at(125), at(120), NamedLimit::Unreadable));
    assert_eq!(limit.rate(), CallRate::from_per_second(5.0));
    assert!(limit.observe(at(130), at(60), rate(4.0)), "a lower one holds at once");
    assert!(limit.observe(at(150), at(140), rate(9.0)));
    assert!(limit.observe(at(170), at(160), NamedLimit::Absent));
    assert_eq!(limit.rate(), None);
}

//! The rate limit on log lines, and the report of lines that it drops.
//!
//! Guards against a flood of requests that floods the log, against dropped lines that nobody
//! learns of, and against minor lines that crowd out those on failures.

use poplartrail_node::adapters::report::LogRateLimiter;

#[test]
fn flood_is_bounded_and_counted() {
    let mut allowance = LogRateLimiter::new(10);
    let (mut written, mut reported) = (0, 0);
    for at_ms in 0..5_000 {
        reported += allowance.advance_to(at_ms);
        written += u64::from(allowance.try_acquire());
    }
    reported += allowance.advance_to(5_000);
    assert_eq!(written, 50, "not ten lines in each second");
    assert_eq!(written + reported, 5_000, "a dropped line was not counted");
}

#[test]
fn quiet_seconds_drop_nothing() {
    let mut allowance = LogRateLimiter::new(10);
    for at_ms in (0..5_000).step_by(200) {
        assert_eq!(allowance.advance_to(at_ms), 0);
        assert!(allowance.try_acquire());
    }
}

#[test]
fn minor_lines_leave_room_for_failures() {
    let mut allowance = LogRateLimiter::new(10);
    let minor = (0..100).filter(|_| allowance.try_acquire_minor()).count();
    let failures = (0..100).filter(|_| allowance.try_acquire()).count();
    assert_eq!((minor, failures), (5, 5));
    assert_eq!(allowance.advance_to(1_000), 190, "dropped lines of one kind were not counted");
}

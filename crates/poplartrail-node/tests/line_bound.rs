//! The bound on the lines of a log, and what is said of those left out.

use poplartrail_node::adapters::report::LogRateLimiter;

#[test]
fn flood_is_bounded_and_counted() {
    let mut allowance = LogRateLimiter::new(10);
    let (mut written, mut told) = (0, 0);
    for at_ms in 0..5_000 {
        told += allowance.advance_to(at_ms);
        written += u64::from(allowance.try_acquire());
    }
    told += allowance.advance_to(5_000);
    assert_eq!(written, 50, "ten in each second");
    assert_eq!(written + told, 5_000, "none is left out without a count");
}

#[test]
fn quiet_seconds_say_nothing() {
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
    assert_eq!(allowance.advance_to(1_000), 190, "both are counted");
}

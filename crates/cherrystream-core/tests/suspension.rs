//! Detection of suspensions of the own process.

use cherrystream_core::suspension::{CHECK_INTERVAL, SuspensionDetector};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

/// Returns a detector that has checked regularly until `ms`, and that moment.
fn running_until(ms: u64) -> (SuspensionDetector, Timestamp) {
    let mut now = Timestamp::default();
    let mut detector = SuspensionDetector::new(now);
    while now < Timestamp::from_millis(ms) {
        now = now + CHECK_INTERVAL;
        detector.check(now);
    }
    (detector, now)
}

#[test]
fn input_of_a_process_that_runs_is_not_old() {
    let (detector, now) = running_until(5_000);
    assert!(!detector.affects(now, now));
    let later = now + CHECK_INTERVAL * 2;
    assert!(!detector.affects(later, now));
}

/// Guards against a command that is handled before the first check after a suspension.
#[test]
fn input_that_is_read_before_the_first_check_may_be_old() {
    let (detector, now) = running_until(1_000);
    let resumed = now + Duration::from_secs(3);
    assert!(detector.affects(resumed, resumed));
}

#[test]
fn input_that_is_read_soon_after_a_suspension_may_be_old() {
    let (mut detector, now) = running_until(1_000);
    let resumed = now + Duration::from_secs(3);
    detector.check(resumed);
    let read_at = resumed + Duration::from_millis(100);
    detector.check(read_at);
    assert!(detector.affects(read_at, read_at));
}

/// Guards against a command that was read in time and is repeated after a suspension.
#[test]
fn input_that_was_read_before_a_suspension_may_be_old_for_good() {
    let (mut detector, read_at) = running_until(1_000);
    let mut now = read_at + Duration::from_secs(3);
    for _ in 0..100 {
        detector.check(now);
        assert!(detector.affects(now, read_at));
        now = now + CHECK_INTERVAL;
    }
}

/// Guards against replicas that refuse commands for good after a suspension.
#[test]
fn input_that_arrives_later_is_not_old() {
    let (mut detector, now) = running_until(1_000);
    let mut now = now + Duration::from_secs(3);
    for _ in 0..20 {
        detector.check(now);
        now = now + CHECK_INTERVAL;
    }
    assert!(!detector.affects(now, now));
}

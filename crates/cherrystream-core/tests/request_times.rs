//! Time limits of a request at an outbound.

use cherrystream_core::request_times::{RequestTimes, TimeInputs};
use cherrystream_core::units::Timestamp;
use std::time::Duration;

fn times(body_bytes: usize, elapsed: u64) -> RequestTimes {
    RequestTimes::new(TimeInputs {
        now: Timestamp::from_millis(1_000),
        target: Duration::from_millis(800),
        elapsed: Duration::from_millis(elapsed),
        repeatable: false,
        body_bytes,
        crossing_cost: Duration::from_millis(200),
    })
}

fn own_domain_until(body_bytes: usize, elapsed: u64) -> Option<u64> {
    times(body_bytes, elapsed).own_domain_until.map(Timestamp::as_millis)
}

#[test]
fn the_time_in_the_own_failure_domain_grows_with_the_body() {
    assert_eq!(own_domain_until(0, 0), None);
    assert_eq!(own_domain_until(1_200, 0), None, "shorter than an offer takes");
    assert_eq!(own_domain_until(6 * 1_024, 0), None, "shorter than most slow periods");
    assert_eq!(own_domain_until(16 * 1_024, 0), Some(1_200));
    assert_eq!(own_domain_until(60 * 1_024, 0), Some(1_400), "half of the target at most");
    assert_eq!(own_domain_until(60 * 1_024, 600), Some(1_100), "half of what is left of it");
}

#[test]
fn the_target_counts_from_the_first_request_of_the_caller() {
    assert_eq!(times(0, 0).good_until, Timestamp::from_millis(1_800));
    assert_eq!(times(0, 300).good_until, Timestamp::from_millis(1_500));
    assert_eq!(times(0, 5_000).good_until, Timestamp::from_millis(1_000));
}

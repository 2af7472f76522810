//! Estimate of the time since a caller first sent a request.

use cherrystream_core::elapsed_time::ElapsedTimeEstimator;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Records requests of a kind with these remaining deadlines, one every 20 ms; returns the estimate
/// for each.
fn estimates(
    estimator: &mut ElapsedTimeEstimator,
    from: u64,
    remaining: impl Iterator<Item = u64>,
) -> Vec<u64> {
    let kind: Arc<str> = "grants".into();
    let at = |i: u64| Timestamp::from_millis(from + i * 20);
    let estimate = |(i, remaining): (u64, u64)| {
        estimator.on_request(at(i), &kind, ms(remaining)).as_millis() as u64
    };
    (0..).zip(remaining).map(estimate).collect()
}

#[test]
fn a_lower_remaining_deadline_is_estimated_as_a_retry() {
    let mut estimator = ElapsedTimeEstimator::default();
    estimates(&mut estimator, 0, std::iter::repeat_n(5_000, 20));
    assert_eq!(estimates(&mut estimator, 500, [4_700, 5_000, 4_300].into_iter()), [292, 0, 692]);
}

/// Guards against treating the shorter of two common deadlines as a retry.
#[test]
fn each_common_deadline_counts_as_a_first_request() {
    let mut estimator = ElapsedTimeEstimator::default();
    estimates(&mut estimator, 0, [600, 4_000].into_iter().cycle().take(40));
    assert_eq!(
        estimates(&mut estimator, 900, [600, 4_000, 500, 3_900].into_iter()),
        [0, 0, 92, 100]
    );
}

#[test]
fn without_a_common_deadline_no_time_is_assumed() {
    let mut estimator = ElapsedTimeEstimator::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let random: Vec<u64> = (0..400).map(|_| rng.random_range(100..10_000)).collect();
    assert!(estimates(&mut estimator, 0, random.into_iter()).iter().all(|elapsed| *elapsed == 0));
    let mut estimator = ElapsedTimeEstimator::default();
    assert_eq!(
        estimates(&mut estimator, 0, [5_000, 4_000, 3_000].into_iter()),
        [0, 0, 0],
        "too few requests"
    );
}

/// Guards against estimates from deadlines that callers no longer use.
#[test]
fn a_deadline_that_is_no_longer_common_expires() {
    let mut estimator = ElapsedTimeEstimator::default();
    estimates(&mut estimator, 0, std::iter::repeat_n(5_000, 100));
    let after = estimates(&mut estimator, 10_000, std::iter::repeat_n(2_000, 3_000));
    assert_eq!(after.last(), Some(&0));
}

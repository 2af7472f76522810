//! How long ago a caller first asked.

use cherrystream_core::first_asked::FirstAsked;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Duration;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Feeds requests of a kind, one each 20 ms, and returns what is told of each.
fn told(known: &mut FirstAsked, from: u64, left: impl Iterator<Item = u64>) -> Vec<u64> {
    let kind: Arc<str> = "grants".into();
    let at = |i: u64| Timestamp::from_millis(from + i * 20);
    let tell = |(i, left): (u64, u64)| known.on_request(at(i), &kind, ms(left)).as_millis() as u64;
    (0..).zip(left).map(tell).collect()
}

#[test]
fn a_request_that_comes_again_tells_how_long_it_was_asked_for() {
    let mut known = FirstAsked::default();
    told(&mut known, 0, std::iter::repeat_n(5_000, 20));
    assert_eq!(told(&mut known, 500, [4_700, 5_000, 4_300].into_iter()), [292, 0, 692]);
}

/// Two sorts of callers, one less patient than the other.
#[test]
fn each_patience_that_is_usual_counts_as_a_first_question() {
    let mut known = FirstAsked::default();
    told(&mut known, 0, [600, 4_000].into_iter().cycle().take(40));
    assert_eq!(told(&mut known, 900, [600, 4_000, 500, 3_900].into_iter()), [0, 0, 92, 100]);
}

#[test]
fn where_nothing_stands_out_nothing_is_assumed() {
    let mut known = FirstAsked::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let random: Vec<u64> = (0..400).map(|_| rng.random_range(100..10_000)).collect();
    assert!(told(&mut known, 0, random.into_iter()).iter().all(|elapsed| *elapsed == 0));
    let mut known = FirstAsked::default();
    assert_eq!(told(&mut known, 0, [5_000, 4_000, 3_000].into_iter()), [0, 0, 0], "too few");
}

/// Callers' settings change; what they were is forgotten.
#[test]
fn a_patience_that_is_no_longer_usual_is_forgotten() {
    let mut known = FirstAsked::default();
    told(&mut known, 0, std::iter::repeat_n(5_000, 100));
    let after = told(&mut known, 10_000, std::iter::repeat_n(2_000, 3_000));
    assert_eq!(after.last(), Some(&0));
}

//! How many slots a door learns to use.

use cherrystream_core::slot_limit::SlotLimit;
use cherrystream_core::units::Timestamp;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SLOTS: u32 = 12;
const SEEDS: u64 = 40;

/// Lets a server whose answers take `time_at(taken)` times as long as usual, spread widely, serve more
/// requests than it has slots for; returns the slots in use at the end.
fn learn(seed: u64, seconds: u64, time_at: impl Fn(u32) -> f64) -> u32 {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut limit = SlotLimit::new(SLOTS, 0.75);
    for at in 0..seconds * 50 {
        let now = Timestamp::from_millis(at * 20);
        limit.on_short(now);
        let spread = rng.random_range(0.4..1.6);
        limit.on_answer(now, limit.used(), time_at(limit.used()) * spread);
    }
    limit.used()
}

#[test]
fn a_share_is_used_at_first() {
    assert_eq!(SlotLimit::new(12, 0.75).used(), 9);
    assert_eq!(SlotLimit::new(1, 0.5).used(), 1);
    assert_eq!(SlotLimit::new(0, 0.5).used(), 1, "a server that names no slots takes one request");
}

#[test]
fn all_slots_are_used_where_that_slows_nothing_down() {
    let learned = (0..SEEDS).filter(|seed| learn(*seed, 60, |_| 1.0) == SLOTS).count();
    assert!(learned as u64 >= SEEDS * 9 / 10, "{learned} of {SEEDS}");
}

#[test]
fn further_slots_do_not_stay_in_use_where_they_slow_all_answers_down() {
    let time_at = |taken| if taken > 9 { 1.7 } else { 1.0 };
    let most = (0..SEEDS).filter(|seed| learn(*seed, 60, time_at) == 9).count();
    assert_eq!(most as u64, SEEDS);
}

/// One part of what they add is lost: as much is served in all, and each answer takes longer.
#[test]
fn further_slots_that_gain_nothing_do_not_stay_in_use() {
    let time_at = |taken| if taken > 9 { 12.0 / 9.0 } else { 1.0 };
    let most = (0..SEEDS).filter(|seed| learn(*seed, 60, time_at) == 9).count();
    assert!(most as u64 >= SEEDS * 9 / 10, "{most} of {SEEDS}");
}

#[test]
fn nothing_is_tried_while_every_request_finds_a_slot() {
    let mut limit = SlotLimit::new(SLOTS, 0.75);
    for at in 0..10_000 {
        limit.on_answer(Timestamp::from_millis(at * 20), 9, 1.0);
    }
    assert_eq!(limit.used(), 9);
}

#[test]
fn trials_that_fail_become_rare() {
    let mut limit = SlotLimit::new(SLOTS, 0.75);
    let mut tried = 0;
    for at in 0..60_000 {
        let now = Timestamp::from_millis(at * 20);
        limit.on_short(now);
        tried += u32::from(limit.used() > 9);
        limit.on_answer(now, limit.used(), if limit.used() > 9 { 1.7 } else { 1.0 });
    }
    assert!(tried < 60_000 / 100, "{tried} of 60,000 answers came from a trial");
}

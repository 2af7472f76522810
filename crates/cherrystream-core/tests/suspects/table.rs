//! Treatment of requests after crashes, responses and records of other daemons.

use super::{ended, identity, merge, ms, sent};
use cherrystream_core::suspects::table::MAX_ENTRIES;
use cherrystream_core::suspects::{Fingerprint, Reach, Record, Sent, Suspects, Verdict};
use std::time::Duration;

const POISON: Fingerprint = Fingerprint(1);
const SECOND: u64 = 1_000;

/// A request that crashes a server, its retry on another server, and the same request in isolation.
fn quarantined() -> Suspects {
    let mut table = Suspects::default();
    table.on_end(ms(100), &ended(1, &[sent(1, false)]));
    assert_eq!(table.judge(ms(101), POISON), Verdict::Watched);
    table.on_end(ms(200), &ended(2, &[sent(1, false)]));
    assert_eq!(table.judge(ms(201), POISON), Verdict::Alone);
    table.on_end(ms(300), &ended(3, &[sent(1, true)]));
    table
}

#[test]
fn three_crashes_with_one_in_isolation_quarantine_a_request() {
    let table = quarantined();
    let left = Duration::from_secs(29);
    assert_eq!(table.judge(ms(1_300), POISON), Verdict::HeldBack(left));
}

#[test]
fn a_crash_counts_once_for_duplicates_of_a_request() {
    let mut table = Suspects::default();
    table.on_end(ms(100), &ended(1, &[sent(1, false), sent(1, false), sent(1, false)]));
    assert_eq!(table.judge(ms(101), POISON), Verdict::Watched);
}

/// Most servers are killed at once while the same harmless request is in flight at several.
#[test]
fn a_mass_kill_quarantines_no_request() {
    let mut table = Suspects::default();
    for end in 1..=20 {
        table.on_end(ms(100), &ended(end, &[sent(1, false)]));
    }
    assert_eq!(table.judge(ms(101), POISON), Verdict::Alone);
    table.on_answer(ms(150), POISON);
    assert_eq!(table.judge(ms(151), POISON), Verdict::Clear);
}

/// Servers crash repeatedly by themselves while a request is in flight that succeeds elsewhere.
#[test]
fn a_response_between_two_crashes_clears_a_request() {
    let mut table = Suspects::default();
    for end in 1..=50 {
        table.on_end(ms(end * 100), &ended(end, &[sent(1, false)]));
        assert_eq!(table.judge(ms(end * 100), POISON), Verdict::Watched);
        table.on_answer(ms(end * 100 + 50), POISON);
    }
    assert_eq!(table.judge(ms(5_100), POISON), Verdict::Clear);
}

/// The service is never repaired.
#[test]
fn trials_of_a_request_that_still_crashes_servers_become_rare() {
    let mut table = quarantined();
    let (mut at, mut trials, mut in_first_minutes) = (300, 0, 0);
    while at < 24 * 3_600 * SECOND {
        at += SECOND;
        if table.judge(ms(at), POISON) == Verdict::Alone {
            trials += 1;
            in_first_minutes += u32::from(at < 200 * SECOND);
            table.on_end(ms(at), &ended(100 + trials, &[sent(1, true)]));
            assert_ne!(table.judge(ms(at), POISON), Verdict::Alone);
        }
    }
    // After 30 s, 90 s, 210 s, and so on up to an hour.
    assert_eq!(in_first_minutes, 2);
    assert!((25..=32).contains(&trials), "{trials} servers ended in a day");
}

/// The service is repaired.
#[test]
fn a_trial_that_succeeds_clears_the_request() {
    let mut table = quarantined();
    assert_eq!(table.judge(ms(30_300), POISON), Verdict::Alone);
    let (reach, _) = table.on_answer(ms(30_400), POISON).unwrap();
    assert_eq!(reach, Reach::All);
    assert_eq!(table.judge(ms(30_401), POISON), Verdict::Clear);
}

#[test]
fn an_operator_clears_a_request() {
    let mut table = quarantined();
    let listed = table.list(ms(10_300));
    assert_eq!(listed.len(), 1);
    let suspect = &listed[0];
    assert_eq!((&*suspect.mark, &*suspect.standing), ("0000000000000001", "held-back"));
    assert_eq!((suspect.ends, suspect.ends_alone, suspect.last_end_s), (3, 1, 10));
    assert_eq!(suspect.next_trial_s, Some(20));
    assert!(table.lift(ms(10_301), POISON).is_some());
    assert_eq!(table.judge(ms(10_302), POISON), Verdict::Clear);
    assert!(table.lift(ms(10_303), POISON).is_none());
}

#[test]
fn a_first_crash_is_announced_only_to_daemons_of_the_service() {
    let mut table = Suspects::default();
    let news = table.on_end(ms(100), &ended(1, &[sent(1, false)]));
    assert_eq!(news[0].0, Reach::Service);
    let news = table.on_end(ms(200), &ended(2, &[sent(1, false)]));
    assert_eq!(news[0].0, Reach::All);
    assert!(table.on_end(ms(201), &ended(2, &[sent(1, false)])).is_empty());
}

/// A daemon that has just started receives a record of crashes before its start.
#[test]
fn a_record_keeps_its_age_over_a_restart() {
    let records = quarantined().wide(ms(20_300));
    let mut restarted = Suspects::default();
    assert!(restarted.on_word(ms(5), &records[0]));
    assert_eq!(restarted.judge(ms(5), POISON), Verdict::HeldBack(Duration::from_secs(10)));
    assert_eq!(restarted.judge(ms(10_005), POISON), Verdict::Alone);
}

#[test]
fn a_record_from_before_a_response_is_ignored() {
    let mut table = quarantined();
    let late = table.wide(ms(400));
    table.on_answer(ms(30_400), POISON);
    assert!(!table.on_word(ms(31_000), &late[0]));
    assert_eq!(table.judge(ms(31_000), POISON), Verdict::Clear);
}

#[test]
fn repeated_exchange_does_not_shift_the_age_of_a_crash() {
    let (mut one, mut other) = (quarantined(), Suspects::default());
    for round in 1..=100 {
        // Each message takes 50 ms, which the ages in it do not include.
        let records = one.wide(ms(300 + round * 100));
        merge(&mut other, ms(350 + round * 100), &records);
        let records = other.wide(ms(350 + round * 100));
        merge(&mut one, ms(400 + round * 100), &records);
    }
    assert_eq!(one.judge(ms(30_300), POISON), Verdict::Alone);
}

#[test]
fn expired_entries_are_removed() {
    let mut table = quarantined();
    table.on_end(ms(300), &ended(4, &[sent(2, false)]));
    table.tick(ms(3_600 * SECOND));
    assert_eq!(table.len(), 2);
    table.tick(ms(3_601 * SECOND));
    assert_eq!(table.len(), 1);
    table.tick(ms(24 * 3_600 * SECOND));
    assert_eq!(table.len(), 1);
    table.tick(ms(24 * 3_600 * SECOND + SECOND));
    assert!(table.is_empty());
    // Nor is an expired record of another daemon merged.
    let record = quarantined().wide(ms(25 * 3_600 * SECOND));
    assert!(!table.on_word(ms(25 * 3_600 * SECOND), &record[0]));
}

/// A caller sends many different requests, all in flight when servers crash.
#[test]
fn a_caller_with_many_suspects_evicts_only_its_own() {
    let mut table = quarantined();
    let generated = (10_u64..).map(|n| Sent { identity: identity(n, 66), alone: false });
    let generated: Vec<Sent> = generated.take(3 * MAX_ENTRIES).collect();
    for (end, at_work) in generated.chunks(12).enumerate() {
        table.on_end(ms(400), &ended(1_000 + end as u64, at_work));
        table.on_end(ms(400), &ended(9_000 + end as u64, at_work));
        assert!(table.len() <= MAX_ENTRIES);
    }
    assert!(matches!(table.judge(ms(500), POISON), Verdict::HeldBack(_)));
}

#[test]
fn records_of_other_daemons_are_bounded() {
    let mut table = quarantined();
    let generated =
        |n| Record { request: Fingerprint(n), ..quarantined().wide(ms(400))[0].clone() };
    for n in 10..(10 + 2 * MAX_ENTRIES as u64) {
        table.on_word(ms(400), &generated(n));
    }
    assert_eq!(table.len(), MAX_ENTRIES);
}

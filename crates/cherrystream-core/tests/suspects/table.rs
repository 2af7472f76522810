//! Treatment of requests after crashes, responses and records of other daemons.

use super::{crash, identity, merge, ms, sent};
use cherrystream_core::suspects::table::MAX_ENTRIES;
use cherrystream_core::suspects::{
    Audience, Fingerprint, Record, SentRequest, Suspects, Treatment,
};
use std::time::Duration;

const POISON: Fingerprint = Fingerprint(1);
const SECOND: u64 = 1_000;

/// A request that crashes a server, its retry on another server, and the same request in isolation.
fn quarantined() -> Suspects {
    let mut table = Suspects::default();
    table.on_crash(ms(100), &crash(1, &[sent(1, false)]));
    assert_eq!(table.treatment(ms(101), POISON), Treatment::Watched);
    table.on_crash(ms(200), &crash(2, &[sent(1, false)]));
    assert_eq!(table.treatment(ms(201), POISON), Treatment::Isolated);
    table.on_crash(ms(300), &crash(3, &[sent(1, true)]));
    table
}

#[test]
fn three_crashes_with_one_in_isolation_quarantine_a_request() {
    let table = quarantined();
    let left = Duration::from_secs(29);
    assert_eq!(table.treatment(ms(1_300), POISON), Treatment::Quarantined(left));
}

#[test]
fn a_crash_counts_once_for_duplicates_of_a_request() {
    let mut table = Suspects::default();
    table.on_crash(ms(100), &crash(1, &[sent(1, false), sent(1, false), sent(1, false)]));
    assert_eq!(table.treatment(ms(101), POISON), Treatment::Watched);
}

/// Most servers are killed at once while the same harmless request is in flight at several.
#[test]
fn a_mass_kill_quarantines_no_request() {
    let mut table = Suspects::default();
    for end in 1..=20 {
        table.on_crash(ms(100), &crash(end, &[sent(1, false)]));
    }
    assert_eq!(table.treatment(ms(101), POISON), Treatment::Isolated);
    table.on_answer(ms(150), POISON);
    assert_eq!(table.treatment(ms(151), POISON), Treatment::Clear);
}

/// Servers crash repeatedly by themselves while a request is in flight that succeeds elsewhere.
#[test]
fn a_response_between_two_crashes_clears_a_request() {
    let mut table = Suspects::default();
    for end in 1..=50 {
        table.on_crash(ms(end * 100), &crash(end, &[sent(1, false)]));
        assert_eq!(table.treatment(ms(end * 100), POISON), Treatment::Watched);
        table.on_answer(ms(end * 100 + 50), POISON);
    }
    assert_eq!(table.treatment(ms(5_100), POISON), Treatment::Clear);
}

/// The service is never repaired.
#[test]
fn trials_of_a_request_that_still_crashes_servers_become_rare() {
    let mut table = quarantined();
    let (mut at, mut trials, mut in_first_minutes) = (300, 0, 0);
    while at < 24 * 3_600 * SECOND {
        at += SECOND;
        if table.treatment(ms(at), POISON) == Treatment::Isolated {
            trials += 1;
            in_first_minutes += u32::from(at < 200 * SECOND);
            table.on_crash(ms(at), &crash(100 + trials, &[sent(1, true)]));
            assert_ne!(table.treatment(ms(at), POISON), Treatment::Isolated);
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
    assert_eq!(table.treatment(ms(30_300), POISON), Treatment::Isolated);
    let (audience, _) = table.on_answer(ms(30_400), POISON).unwrap();
    assert_eq!(audience, Audience::All);
    assert_eq!(table.treatment(ms(30_401), POISON), Treatment::Clear);
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
    assert!(table.clear(ms(10_301), POISON).is_some());
    assert_eq!(table.treatment(ms(10_302), POISON), Treatment::Clear);
    assert!(table.clear(ms(10_303), POISON).is_none());
}

#[test]
fn a_first_crash_is_announced_only_to_daemons_of_the_service() {
    let mut table = Suspects::default();
    let news = table.on_crash(ms(100), &crash(1, &[sent(1, false)]));
    assert_eq!(news[0].0, Audience::Service);
    let news = table.on_crash(ms(200), &crash(2, &[sent(1, false)]));
    assert_eq!(news[0].0, Audience::All);
    assert!(table.on_crash(ms(201), &crash(2, &[sent(1, false)])).is_empty());
}

/// A daemon that has just started receives a record of crashes before its start.
#[test]
fn a_record_keeps_its_age_over_a_restart() {
    let records = quarantined().wide_records(ms(20_300));
    let mut restarted = Suspects::default();
    assert!(restarted.on_record(ms(5), &records[0]));
    assert_eq!(restarted.treatment(ms(5), POISON), Treatment::Quarantined(Duration::from_secs(10)));
    assert_eq!(restarted.treatment(ms(10_005), POISON), Treatment::Isolated);
}

#[test]
fn a_record_from_before_a_response_is_ignored() {
    let mut table = quarantined();
    let late = table.wide_records(ms(400));
    table.on_answer(ms(30_400), POISON);
    assert!(!table.on_record(ms(31_000), &late[0]));
    assert_eq!(table.treatment(ms(31_000), POISON), Treatment::Clear);
}

#[test]
fn repeated_exchange_does_not_shift_the_age_of_a_crash() {
    let (mut one, mut other) = (quarantined(), Suspects::default());
    for round in 1..=100 {
        // Each message takes 50 ms, which the ages in it do not include.
        let records = one.wide_records(ms(300 + round * 100));
        merge(&mut other, ms(350 + round * 100), &records);
        let records = other.wide_records(ms(350 + round * 100));
        merge(&mut one, ms(400 + round * 100), &records);
    }
    assert_eq!(one.treatment(ms(30_300), POISON), Treatment::Isolated);
}

#[test]
fn expired_entries_are_removed() {
    let mut table = quarantined();
    table.on_crash(ms(300), &crash(4, &[sent(2, false)]));
    table.expire(ms(3_600 * SECOND));
    assert_eq!(table.len(), 2);
    table.expire(ms(3_601 * SECOND));
    assert_eq!(table.len(), 1);
    table.expire(ms(24 * 3_600 * SECOND));
    assert_eq!(table.len(), 1);
    table.expire(ms(24 * 3_600 * SECOND + SECOND));
    assert!(table.is_empty());
    // Nor is an expired record of another daemon merged.
    let record = quarantined().wide_records(ms(25 * 3_600 * SECOND));
    assert!(!table.on_record(ms(25 * 3_600 * SECOND), &record[0]));
}

/// A caller sends many different requests, all in flight when servers crash.
#[test]
fn a_caller_with_many_suspects_evicts_only_its_own() {
    let mut table = quarantined();
    let generated = (10_u64..).map(|n| SentRequest { identity: identity(n, 66), isolated: false });
    let generated: Vec<SentRequest> = generated.take(3 * MAX_ENTRIES).collect();
    for (end, in_flight) in generated.chunks(12).enumerate() {
        table.on_crash(ms(400), &crash(1_000 + end as u64, in_flight));
        table.on_crash(ms(400), &crash(9_000 + end as u64, in_flight));
        assert!(table.len() <= MAX_ENTRIES);
    }
    assert!(matches!(table.treatment(ms(500), POISON), Treatment::Quarantined(_)));
}

#[test]
fn records_of_other_daemons_are_bounded() {
    let mut table = quarantined();
    let generated =
        |n| Record { request: Fingerprint(n), ..quarantined().wide_records(ms(400))[0].clone() };
    for n in 10..(10 + 2 * MAX_ENTRIES as u64) {
        table.on_record(ms(400), &generated(n));
    }
    assert_eq!(table.len(), MAX_ENTRIES);
}
